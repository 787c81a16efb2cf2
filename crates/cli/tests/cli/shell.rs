//! A command line in front of a store of its own.

use std::net::TcpListener;
use std::path::PathBuf;
use std::{env, fs, process};

use async_std::task;
use serde_json::Value as Json;
use usher_cli::{ExitStatus, run};
use usher_standins::store::serve;

pub struct Shell {
    pub store: String,
    folder: PathBuf,
}

impl Shell {
    pub fn new(test: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = listener.local_addr().unwrap().to_string();
        task::spawn(serve(listener));
        let folder = env::temp_dir().join(format!("usher-cli-{}-{test}", process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self { store, folder }
    }

    pub fn run(&self, line: &str) -> (ExitStatus, String) {
        let mut args = vec!["--store", &self.store];
        args.extend(line.split(' '));
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let status = run(&args, &mut out, &mut err);
        out.extend(err);
        (status, String::from_utf8(out).unwrap())
    }

    pub fn ok(&self, line: &str) -> String {
        let (status, text) = self.run(line);
        assert_eq!(status, ExitStatus::Ok, "{line}: {text}");
        text
    }

    pub fn refused(&self, line: &str, status: ExitStatus, says: &str) {
        let (found, text) = self.run(line);
        assert_eq!(found, status, "{line}: {text}");
        assert!(text.contains(says), "{line}: {text}");
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    pub fn faults(&self, faults: &Json) {
        let url = format!("http://{}/faults", self.store);
        let request = surf::put(url).body_json(faults).unwrap();
        assert_eq!(task::block_on(request).unwrap().status(), 204);
    }

    pub fn writes(&self) -> Json {
        let url = format!("http://{}/v1/stats", self.store);
        let stats: Json = task::block_on(surf::get(url).recv_json()).unwrap();
        stats["writes"].clone()
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}
