//! Nodes of the project as separate processes, on loopback addresses of their own.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

// The program that deploy/system.toml starts, and the variable that names its settings.
const PROGRAM: &str = "target/release/marigoldusher-node";
const VARIABLE: &str = "MARIGOLDUSHER_CONFIG";

pub const PACKETS: u16 = 8_172;
pub const READY: u16 = 8_167;
pub const CONTROL: u16 = 8_166;
pub const OUTBOUND: u16 = 8_162;
pub const APP: u16 = 8_165;
pub const STORE: u16 = 8_169;

/// Lines of the record, with the seconds since the start.
#[derive(Debug, Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { begin: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.begin.elapsed().as_secs_f64();
        let _written = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    /// Writes a line that is printed too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.begin.elapsed().as_secs_f64());
    }
}

/// A number that differs from call to call.
pub fn random() -> u64 {
    static STATE: Mutex<u64> = Mutex::new(0);
    let mut state = STATE.lock().unwrap();
    if *state == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        *state = (now.as_nanos() as u64) | 1;
    }
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 8
}

/// Ends its process when it is dropped.
#[derive(Debug)]
pub struct Node {
    child: Child,
    pub name: String,
    pub ip: Ipv4Addr,
}

impl Node {
    /// Sends a signal, for example `STOP`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    pub fn at(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

#[derive(Debug)]
pub struct Lab {
    net: [u8; 2],
    pub folder: PathBuf,
    pub record: Record,
    pub centres: Vec<&'static str>,
}

impl Lab {
    /// Chooses loopback addresses that nobody uses, and a folder for settings and logs.
    pub fn new(record: Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let free = |net: &[u8; 2]| {
            let address = SocketAddrV4::new(Ipv4Addr::new(127, net[0], net[1], 1), STORE);
            UdpSocket::bind(address).is_ok() && std::net::TcpListener::bind(address).is_ok()
        };
        let mut net = [0; 2];
        for _attempt in 0..100 {
            net = [(20 + random() % 200) as u8, (random() % 250) as u8];
            if free(&net) {
                break;
            }
        }
        Self { net, folder, record, centres: vec!["riga-centrs"] }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), port)
    }

    /// Starts a balancer; `seeds` are the hosts of balancers.
    pub fn balancer(&self, host: u8, seeds: &[u8]) -> Node {
        let text = self.settings("balancer", "edge", host, seeds, "0.25");
        self.start(&format!("edge-{host}"), host, &text)
    }

    /// Starts the agent of a service.
    pub fn agent(&self, host: u8, service: &str, seeds: &[u8]) -> Node {
        let text = self.settings("agent", "side", host, seeds, "0.15");
        let agent = format!(
            "\n[agent]\nservice = {service}\nbackend = {}\noutbound = {}\ncontrol = {}\n",
            self.at(host, APP),
            self.at(host, OUTBOUND),
            self.at(host, CONTROL)
        );
        self.start(&format!("side-{host}"), host, &(text + &agent))
    }

    fn start(&self, name: &str, host: u8, settings: &str) -> Node {
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("settings can be written");
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log can be written");
        let path_variable = std::env::var_os("PATH").unwrap_or_default();
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", path_variable)
            .env(VARIABLE, &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log can be shared"))
            .stdout(log)
            .spawn()
            .unwrap_or_else(|fault| {
                eprintln!("cannot start {PROGRAM}: {fault}");
                std::process::exit(2);
            });
        self.record.line(&format!("starts {name} at {}", self.ip(host)));
        Node { child, name: name.to_owned(), ip: self.ip(host) }
    }

    // As deploy/node.ini is rendered.
    fn settings(&self, role: &str, class: &str, host: u8, seeds: &[u8], cores: &str) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| self.at(*seed, CONTROL).to_string()).collect();
        let centres: Vec<String> = self.centres.iter().map(|centre| format!("{centre}:riga")).collect();
        let centre = self.centres[usize::from(host) % self.centres.len()];
        format!(
            "[process]\nrole = {role}\nname = {class}-{host}\ncentre = {centre}\naddress = {}\n\
             packets = {}\nready = {}\npeer_port = 7720\nseeds = {}\nstore = {}\ncores = {cores}\n\
             flow_life_s = 60\ngrace_s = 6\nevacuation_ms =\ncentres = {}\nlog = info\n\
             metrics = 9464\nextra_openings =\noutliers =\n",
            self.ip(host),
            self.at(host, PACKETS),
            self.at(host, READY),
            seeds.join(","),
            self.at(1, STORE),
            centres.join(",")
        )
    }

    /// Copies the logs of the nodes beside the record.
    pub fn keep_logs(&self, lines: usize, words: &[&str]) {
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return;
        };
        for entry in entries.flatten() {
            let path = entry.path();
            if path.extension().is_none_or(|kind| kind != "log") {
                continue;
            }
            let text = fs::read_to_string(&path).unwrap_or_default();
            let chosen = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
            for line in chosen.take(lines) {
                self.record.line(&format!("log {line}"));
            }
        }
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.folder);
    }
}
