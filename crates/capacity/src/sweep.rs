use std::fmt;
use std::io;
use std::str::FromStr;

use indexmap::IndexMap;

use crate::{Point, sweeps};

/// What grows from point to point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sweep {
    /// Hosts of one service whose table ranks hosts for each packet.
    SmallService,
    /// Hosts of one service whose table is computed in advance.
    LargeService,
    /// Services of three hosts that a balancer knows.
    Services,
    /// Flows that an agent holds and hints that a balancer holds.
    Flows,
    /// Hosts whose heartbeats a balancer hears.
    Members,
    /// Balancers of a data centre.
    Fleet,
    /// Configuration changes to a fixed number of objects.
    Changes,
    /// Keys that a ledger holds.
    Records,
    /// Bytes of payload in a message.
    Payload,
}

type Measure = fn(usize, &mut Point) -> io::Result<()>;

const TABLE: [(Sweep, &str, &[usize], Measure); 9] = [
    (
        Sweep::SmallService,
        "small-service",
        &[2, 4, 8, 16, 32],
        sweeps::service::measure,
    ),
    (
        Sweep::LargeService,
        "large-service",
        &[100, 300, 1_000, 3_000],
        sweeps::service::measure,
    ),
    (
        Sweep::Services,
        "services",
        &[2_000, 8_000, 20_000, 35_000],
        sweeps::services::measure,
    ),
    (
        Sweep::Flows,
        "flows",
        &[25_000, 50_000, 100_000, 200_000],
        sweeps::flows::measure,
    ),
    (
        Sweep::Members,
        "members",
        &[30, 300, 3_000, 9_000],
        sweeps::members::measure,
    ),
    (
        Sweep::Fleet,
        "fleet",
        &[43, 172, 344, 688],
        sweeps::fleet::measure,
    ),
    (
        Sweep::Changes,
        "changes",
        &[3_000, 12_000, 48_000, 96_000],
        sweeps::changes::measure,
    ),
    (
        Sweep::Records,
        "records",
        &[25_000, 50_000, 100_000, 200_000],
        sweeps::records::measure,
    ),
    (
        Sweep::Payload,
        "payload",
        &[0, 256, 512, 1_024],
        sweeps::payload::measure,
    ),
];

impl Sweep {
    pub(crate) const ALL: [Self; TABLE.len()] = {
        let mut all = [Self::SmallService; TABLE.len()];
        let mut place = 0;
        while place < TABLE.len() {
            all[place] = TABLE[place].0;
            place += 1;
        }
        all
    };

    /// Sizes of the points, smallest first.
    pub(crate) fn sizes(self) -> &'static [usize] {
        self.row().2
    }

    /// Measures one point.
    ///
    /// # Errors
    /// Fails when the process's memory figures cannot be read.
    pub(crate) fn measure(self, size: usize) -> io::Result<Point> {
        let mut point = Point {
            sweep: self.to_string(),
            size,
            figures: IndexMap::new(),
        };
        (self.row().3)(size, &mut point)?;
        Ok(point)
    }

    fn row(self) -> &'static (Self, &'static str, &'static [usize], Measure) {
        &TABLE[self as usize]
    }
}

impl fmt::Display for Sweep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.row().1)
    }
}

impl FromStr for Sweep {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known = Self::ALL.into_iter().find(|sweep| sweep.row().1 == text);
        known.ok_or_else(|| format!("no sweep {text:?}; `capacity plan` lists all"))
    }
}
