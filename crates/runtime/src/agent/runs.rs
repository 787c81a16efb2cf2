use std::collections::HashMap;

use usher_types::RequestId;

/// Assigns numbers to the backend server's runs and maps them to requests.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    last: u64,
    requests: HashMap<u64, RequestId>,
    numbers: HashMap<RequestId, u64>,
}

impl Runs {
    pub(crate) fn start(&mut self, id: RequestId) -> u64 {
        self.last += 1;
        self.requests.insert(self.last, id);
        self.numbers.insert(id, self.last);
        self.last
    }

    pub(crate) fn number(&self, id: &RequestId) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    pub(crate) fn end(&mut self, run: u64) -> Option<RequestId> {
        let id = self.requests.remove(&run)?;
        if self.numbers.get(&id) == Some(&run) {
            self.numbers.remove(&id);
        }
        Some(id)
    }
}
