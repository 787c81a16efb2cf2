//! The platform's metadata store.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;

/// Store that serves nodes and the operator, and that can fall silent.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

struct Shared {
    table: Mutex<Table>,
    changed: Condvar,
    silent: AtomicBool,
}

#[derive(Default)]
struct Table {
    revision: i64,
    objects: BTreeMap<(String, String), Json>,
    /// Kind, object and whether it was removed, by revision.
    history: Vec<(i64, String, Json, bool)>,
}

struct Call {
    method: String,
    path: Vec<String>,
    query: BTreeMap<String, String>,
    body: Json,
}

type Answer = (u16, Json);

impl Store {
    pub fn start(address: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(Shared {
            table: Mutex::default(),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
        });
        let store = Self { shared };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// While silent, the store accepts connections and answers nothing. What arrives meanwhile is not
    /// done, and a connection on which an answer was lost returns nothing further.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::SeqCst);
    }

    /// The operator writes a configuration; the return is the acknowledgement.
    pub fn configure(&self, version: i64, routes: &[(SocketAddrV4, &str)]) {
        let route = |(address, service): &(SocketAddrV4, &str)| {
            Json::object([
                ("name", Json::text(format!("r-{}-{}", address.ip(), address.port()))),
                ("host", Json::text(address.ip().to_string())),
                ("pathPrefix", Json::text(format!("/{}/", address.port()))),
                ("type", Json::text("safe")),
                ("timeoutMs", Json::Number(5_000)),
                ("targetLatencyMs", Json::Number(500)),
                ("priority", Json::Number(2)),
                ("service", Json::text(*service)),
                ("maxAttempts", Json::Number(2)),
            ])
        };
        let spec = Json::object([
            ("version", Json::Number(version)),
            ("routes", Json::List(routes.iter().map(route).collect())),
            ("services", Json::List(Vec::new())),
            ("limits", Json::object([("idleTimeoutMs", Json::Number(15_000))])),
        ]);
        self.table().put("config", "main", spec);
        self.shared.changed.notify_all();
    }

    fn table(&self) -> std::sync::MutexGuard<'_, Table> {
        self.shared.table.lock().unwrap()
    }

    fn is_silent(&self) -> bool {
        self.shared.silent.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(call) = read_call(&mut reader) {
            let answer = if self.is_silent() { None } else { self.answer(&call) };
            let Some((status, body)) = answer.filter(|_| !self.is_silent()) else {
                // Holds the connection until the caller ends it.
                let _closed = reader.read_to_end(&mut Vec::new());
                return;
            };
            if write_answer(&stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Call) -> Option<Answer> {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        match (call.method.as_str(), path.as_slice()) {
            ("GET", ["objects", kind]) => match call.query.get("watch") {
                Some(since) => self.watch(kind, since.parse().ok()?, call),
                None => Some((200, self.table().list(kind))),
            },
            ("GET", ["objects", kind, name]) => {
                let table = self.table();
                let found = table.objects.get(&((*kind).into(), (*name).into()));
                Some(found.map_or((404, Json::object([])), |object| (200, object.clone())))
            }
            ("POST", ["objects", kind]) => {
                let name = call.body.get("meta")?.get("name")?.as_text()?;
                self.write(kind, name, None, Some(&call.body), true)
            }
            ("PUT", ["objects", kind, name]) => {
                let revision = call.body.get("meta").and_then(|meta| meta.get("revision"));
                let revision = revision.and_then(Json::as_number);
                self.write(kind, name, revision, Some(&call.body), false)
            }
            ("DELETE", ["objects", kind, name]) => {
                let revision = call.query.get("revision").and_then(|text| text.parse().ok());
                self.write(kind, name, revision, None, false)
            }
            _ => Some((404, Json::object([]))),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        revision: Option<i64>,
        body: Option<&Json>,
        create: bool,
    ) -> Option<Answer> {
        let mut table = self.table();
        let known = table.objects.get(&(kind.into(), name.into())).cloned();
        let answer = match (known, body) {
            (Some(known), _) if create => return Some((409, known)),
            (None, _) if !create => return Some((404, Json::object([]))),
            (Some(known), _) if revision.is_some_and(|revision| revision != revision_of(&known)) => {
                return Some((409, known));
            }
            (Some(known), None) => {
                table.remove(kind, name, &known);
                (200, known)
            }
            (known, Some(body)) => {
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                match known.filter(|known| known.get("spec") == Some(&spec)) {
                    Some(unchanged) => return Some((200, unchanged)),
                    None => (200, table.put(kind, name, spec)),
                }
            }
            (None, None) => return None,
        };
        drop(table);
        self.shared.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, kind: &str, since: i64, call: &Call) -> Option<Answer> {
        let wait: u64 = call.query.get("waitMs").and_then(|text| text.parse().ok())?;
        let end = Instant::now() + Duration::from_millis(wait);
        let mut table = self.table();
        loop {
            let newer = table.history.iter().filter(|(at, of, ..)| *at > since && of == kind);
            let event = |(_, _, object, removed): &(i64, String, Json, bool)| {
                Json::object([("removed", Json::Bool(*removed)), ("object", object.clone())])
            };
            let events: Vec<Json> = newer.map(event).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::Number(table.revision);
                let body = Json::object([("events", Json::List(events)), ("currentRev", revision)]);
                return Some((200, body));
            }
            table = self.shared.changed.wait_timeout(table, left).unwrap().0;
        }
    }
}

impl Table {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        self.revision += 1;
        let meta = Json::object([
            ("name", Json::text(name)),
            ("revision", Json::Number(self.revision)),
            ("created", Json::Number(self.revision)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        let object = Json::object([("meta", meta), ("spec", spec), ("status", Json::Null)]);
        self.objects.insert((kind.into(), name.into()), object.clone());
        self.history.push((self.revision, kind.into(), object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str, object: &Json) {
        self.revision += 1;
        self.objects.remove(&(kind.into(), name.into()));
        self.history.push((self.revision, kind.into(), object.clone(), true));
    }

    // The kinds of the review's runs have fewer objects than a page.
    fn list(&self, kind: &str) -> Json {
        let found = self.objects.iter().filter(|((of, _), _)| of == kind);
        Json::object([
            ("items", Json::List(found.map(|(_, object)| object.clone()).collect())),
            ("more", Json::Bool(false)),
            ("currentRev", Json::Number(self.revision)),
        ])
    }
}

fn revision_of(object: &Json) -> i64 {
    let revision = object.get("meta").and_then(|meta| meta.get("revision"));
    revision.and_then(Json::as_number).unwrap_or(0)
}

fn read_call(reader: &mut impl BufRead) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Call {
        method,
        path: path.split('/').skip(1).map(str::to_owned).collect(),
        query: pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect(),
        body: Json::parse(&String::from_utf8(body).ok()?).unwrap_or(Json::Null),
    })
}

fn write_answer(mut stream: &TcpStream, status: u16, body: &Json) -> std::io::Result<()> {
    let body = body.to_string();
    let length = body.len();
    let head = "Content-Type: application/json";
    write!(stream, "HTTP/1.1 {status} x\r\n{head}\r\nContent-Length: {length}\r\n\r\n{body}")
}
