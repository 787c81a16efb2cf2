use std::fs::{self, File};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::deployment::await_until;

/// A child process running `marigoldusherd`; it is killed when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Writes settings to `folder`, where the log goes as well, and starts the daemon.
    pub fn start(folder: &Path, name: &str, settings: &str) -> Self {
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, settings).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldusherd"));
        command.arg("--settings").arg(file);
        let child = command.stdout(Stdio::null()).stderr(log).spawn().unwrap();
        Self(child)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.0);
        kill_process(pid, signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }

    pub fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }

    /// Waits for the end of the process and returns its exit status.
    pub fn exit_status(&mut self, limit: Duration) -> Option<i32> {
        await_until("the process to end", limit, || !self.is_running());
        self.0.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
