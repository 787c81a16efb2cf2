//! The platform's store: objects by kind and name, and watches.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.name, self.revision, self.created, self.spec
        )
    }
}

#[derive(Debug, Default)]
struct Table {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    // Kind, object after the change, and whether it was removed.
    changes: Vec<(String, Object, bool)>,
}

#[derive(Debug, Default, Clone)]
pub struct Store {
    shared: Arc<(Mutex<Table>, Condvar)>,
    // Requests that come before this time are never answered.
    silent_until: Arc<Mutex<Option<Instant>>>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 1;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (table, changed) = &*self.shared;
        let mut table = table.lock().unwrap();
        let revision = table.write(kind, name, spec);
        changed.notify_all();
        revision
    }

    /// Writes an object as the operator; the store then falls silent for a time.
    ///
    /// Watches that wait for the change are still answered.
    pub fn put_and_fall_silent(&self, kind: &str, name: &str, spec: &str, span: Duration) -> u64 {
        let (table, changed) = &*self.shared;
        let mut table = table.lock().unwrap();
        *self.silent_until.lock().unwrap() = Some(Instant::now() + span);
        let revision = table.write(kind, name, spec);
        changed.notify_all();
        revision
    }

    fn is_silent(&self) -> bool {
        let until = *self.silent_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some((method, target, body)) = read_request(&mut reader) {
            if self.is_silent() {
                // Ends when the caller closes the connection.
                let _rest = reader.read_line(&mut String::new());
                return;
            }
            let (status, answer) = self.answer(&method, &target, &body);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if stream.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let Some(rest) = path.strip_prefix("/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let (table, changed) = &*self.shared;
        match (method, name) {
            ("GET", "") if field("watch").is_some() => {
                let since: u64 = field("watch").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = field("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(kind, since, Duration::from_millis(wait.min(30_000)))
            }
            ("GET", "") => {
                let after = field("after").unwrap_or_default();
                let table = table.lock().unwrap();
                let found = table.objects.iter().filter(|((of, name), _)| of == kind && *name > after);
                let items: Vec<String> = found.map(|(_, object)| object.json()).collect();
                let (items, revision) = (items.join(","), table.revision);
                (200, format!("{{\"items\":[{items}],\"more\":false,\"currentRev\":{revision}}}"))
            }
            ("GET", name) => {
                let table = table.lock().unwrap();
                let found = table.objects.get(&(kind.to_owned(), name.to_owned()));
                found.map_or((404, "{}".to_owned()), |object| (200, object.json()))
            }
            ("POST", "") => {
                let name = text_field(body, "\"name\":\"");
                let key = (kind.to_owned(), name.clone());
                let mut table = table.lock().unwrap();
                if let Some(known) = table.objects.get(&key) {
                    return (409, known.json());
                }
                table.write(kind, &name, &spec_of(body));
                changed.notify_all();
                (201, table.objects[&key].json())
            }
            ("PUT", name) => {
                let key = (kind.to_owned(), name.to_owned());
                let mut table = table.lock().unwrap();
                let Some(known) = table.objects.get(&key) else {
                    return (404, "{}".to_owned());
                };
                let wanted: u64 = number_field(body, "\"revision\":");
                if wanted != 0 && wanted != known.revision {
                    return (409, known.json());
                }
                table.write(kind, name, &spec_of(body));
                changed.notify_all();
                (200, table.objects[&key].json())
            }
            ("DELETE", name) => {
                let key = (kind.to_owned(), name.to_owned());
                let mut table = table.lock().unwrap();
                let Some(known) = table.objects.get(&key).cloned() else {
                    return (404, "{}".to_owned());
                };
                let wanted = field("revision").and_then(|text| text.parse().ok());
                if wanted.is_some_and(|wanted: u64| wanted != known.revision) {
                    return (409, known.json());
                }
                table.revision += 1;
                let revision = table.revision;
                table.objects.remove(&key);
                table.changes.push((kind.to_owned(), Object { revision, ..known }, true));
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let (table, changed) = &*self.shared;
        let end = Instant::now() + wait;
        let mut table = table.lock().unwrap();
        loop {
            let found = table.changes.iter().filter(|(of, object, _)| of == kind && object.revision > since);
            let events: Vec<String> = found
                .map(|(_, object, removed)| format!("{{\"removed\":{removed},\"object\":{}}}", object.json()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), table.revision);
                return (200, format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"));
            }
            table = changed.wait_timeout(table, left).unwrap().0;
        }
    }
}

impl Table {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(revision, |object| object.created);
        let object = Object {
            name: name.to_owned(),
            revision,
            created,
            spec: spec.to_owned(),
        };
        self.objects.insert(key, object.clone());
        self.changes.push((kind.to_owned(), object, false));
        revision
    }
}

/// Reads one HTTP request: method, target and body.
pub fn read_request(reader: &mut impl BufRead) -> Option<(String, String, String)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
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
    Some((method, target, String::from_utf8_lossy(&body).into_owned()))
}

// The nodes write compact JSON, so a field is found by its text.
fn text_field(body: &str, start: &str) -> String {
    let rest = body.split_once(start).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("").to_owned()
}

fn number_field(body: &str, start: &str) -> u64 {
    let rest = body.split_once(start).map_or("", |(_, rest)| rest);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

// The value of `spec`, which is an object.
fn spec_of(body: &str) -> String {
    let Some((_, rest)) = body.split_once("\"spec\":") else {
        return "{}".to_owned();
    };
    let mut depth = 0;
    for (at, letter) in rest.char_indices() {
        match letter {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return rest[..=at].to_owned();
        }
    }
    "{}".to_owned()
}
