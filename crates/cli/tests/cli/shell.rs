//! Runs command lines of the tool against a stand-in store.

use std::path::PathBuf;
use std::{env, fs, process};

use serde_json::Value as Json;
use usher_cli::{ExitStatus, run};
use usher_platform_standin::store::Store;

/// Command lines with a store and a temporary folder of their own.
pub struct Shell {
    pub store: String,
    server: Store,
    folder: PathBuf,
}

impl Shell {
    pub fn new(test: &str) -> Self {
        let server = Store::start("127.0.0.1:0".parse().unwrap());
        let store = server.address.to_string();
        let folder = env::temp_dir().join(format!("usher-cli-{}-{test}", process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self {
            store,
            server,
            folder,
        }
    }

    /// Runs a command line, split at spaces; returns all that it prints.
    pub fn run(&self, line: &str) -> (ExitStatus, String) {
        let mut args = vec!["--store", &self.store];
        args.extend(line.split(' '));
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let status = run(&args, &mut out, &mut err);
        out.extend(err);
        (status, String::from_utf8(out).unwrap())
    }

    /// Runs a command that has to succeed.
    pub fn ok(&self, line: &str) -> String {
        let (status, text) = self.run(line);
        assert_eq!(status, ExitStatus::Ok, "{line}: {text}");
        text
    }

    /// Runs a command that has to fail with this status and text.
    pub fn refused(&self, line: &str, status: ExitStatus, expected: &str) {
        let (found, text) = self.run(line);
        assert_eq!(found, status, "{line}: {text}");
        assert!(text.contains(expected), "{line}: {text}");
    }

    /// Writes a file into the temporary folder and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    pub fn faults(&self, faults: &Json) {
        let faults = serde_json::from_value(faults.clone()).unwrap();
        self.server.set_faults(faults);
    }

    /// Adds an entry of another writer to those of the project.
    pub fn add_odd(&self, entry: &str) {
        self.server.add_odd("marigoldusher", entry);
    }

    /// Number of writes that the store has accepted.
    pub fn writes(&self) -> u64 {
        self.server.stats().writes
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}
