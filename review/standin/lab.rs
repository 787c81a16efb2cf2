//! A small deployment on loopback addresses: addresses, settings, processes and the record.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/marigoldusher-node";
const TEMPLATE: &str = "deploy/node.ini";
const STORE: u8 = 1;
/// Last part of the address of the first client.
pub const FIRST_CLIENT: u8 = 200;

/// Ports, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub peer: u16,
    pub metrics: u16,
    pub store: u16,
}

/// Lines of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

// Processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all started processes and the run itself after a limit, as a case that could not run.
pub fn watch_limit(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            let _sent = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
        eprintln!("the case did not end within {limit:?}");
        std::process::exit(2);
    });
}

/// A process of the system.
pub struct Node {
    child: Child,
    pub address: Ipv4Addr,
}

impl Node {
    /// Sends a signal by name, for example TERM.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _sent = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

pub struct Lab {
    net: [u8; 3],
    pub ports: Ports,
    folder: PathBuf,
    pub record: Record,
}

impl Lab {
    /// Chooses free addresses and ports, and opens the record.
    pub fn new(record: &Path) -> std::io::Result<Self> {
        let record = Record { file: Arc::new(Mutex::new(File::create(record)?)), start: Instant::now() };
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let folder = std::env::temp_dir().join(format!("usher-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut seed = clock.subsec_nanos() ^ std::process::id();
        for _ in 0..50 {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let base = 10_000 + (seed >> 16) as u16 % 20_000;
            let net = [127, 20 + (seed >> 8) as u8 % 200, (seed >> 20) as u8];
            let ports = Ports {
                packets: base,
                ready: base + 1,
                control: base + 2,
                outbound: base + 3,
                app: base + 4,
                peer: base + 5,
                metrics: base + 6,
                store: base + 7,
            };
            let lab = Self { net, ports, folder: folder.clone(), record: record.clone() };
            if lab.is_free() {
                return Ok(lab);
            }
        }
        Err(std::io::Error::other("no free ports"))
    }

    fn is_free(&self) -> bool {
        (1..30).all(|machine| {
            (0..8).all(|offset| {
                let address = self.address(machine, self.ports.packets + offset);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        })
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], machine)
    }

    pub fn address(&self, machine: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), port)
    }

    pub fn store_address(&self) -> SocketAddrV4 {
        self.address(STORE, self.ports.store)
    }

    /// Starts a node with the command of the deploy file; `service` is that of an agent's host.
    pub fn start(&self, machine: u8, zone: &str, service: Option<&str>) -> std::io::Result<Node> {
        let file = self.folder.join(format!("node-{machine}.ini"));
        fs::write(&file, self.settings(machine, zone, service)?)?;
        let log = File::options().create(true).append(true).open(file.with_extension("log"))?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("MARIGOLDUSHER_CONFIG", &file).stdout(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let role = if service.is_some() { "agent" } else { "balancer" };
        self.record.line(format!("{role} starts at {} in {zone}", self.ip(machine)));
        Ok(Node { child, address: self.ip(machine) })
    }

    // Renders the template of the deploy file.
    fn settings(&self, machine: u8, zone: &str, service: Option<&str>) -> std::io::Result<String> {
        let mut text = fs::read_to_string(TEMPLATE)?;
        if service.is_none()
            && let Some((before, rest)) = text.split_once("{{#app}}")
        {
            let after = rest.split_once("{{/app}}").map_or("", |(_, after)| after);
            text = format!("{before}{after}");
        }
        let at = |port| self.address(machine, port).to_string();
        let role = if service.is_some() { "agent" } else { "balancer" };
        let cores = if service.is_some() { "0.15" } else { "0.25" };
        let fields = [
            ("role", role.to_owned()),
            ("nodeName", format!("{role}-{machine}")),
            ("zone", zone.to_owned()),
            ("ip", self.ip(machine).to_string()),
            ("bindAddrs.datagramAddr", at(self.ports.packets)),
            ("bindAddrs.readiness", at(self.ports.ready)),
            ("bindAddrs.outbound", at(self.ports.outbound)),
            ("bindAddrs.controlPlane", at(self.ports.control)),
            ("portRange.0", self.ports.peer.to_string()),
            ("seeds", String::new()),
            ("platform.address", self.store_address().to_string()),
            ("limits.cpuFraction", cores.to_owned()),
            ("bounds.flowMaxS", "60".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("service", service.unwrap_or_default().to_owned()),
            ("app", at(self.ports.app)),
        ];
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text = text.replace("{{#app}}", "").replace("{{/app}}", "");
        let metrics = format!("metrics = {}", self.ports.metrics);
        Ok(text.replace("metrics = 9464", &metrics))
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until a condition holds; `false` if it does not within the limit.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
