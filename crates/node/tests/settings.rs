//! Settings that are not valid are refused with a number; `deploy/node.ini` renders to valid ones.

use std::fs;
use std::io::{Read, Write};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use rustix::fs::FileType;
use rustix::process::{Pid, Signal, kill_process};
use usher_node::{Role, Settings};
use usher_platform::render_first_release;
use usher_types::{Centres, Span};

const VALID: &str = "[process]\nrole = agent\nname = side-1\ncentre = kolkata\naddress = 10.1.0.13\n\
    packets = 10.1.0.13:8172\nready = 10.1.0.13:8167\npeer_port = 7720\n\
    seeds = 10.1.0.10:8166,10.2.0.40:8166\nstore = 10.200.1.7:8169\ncores = 0.055\nflow_life_s = 60\ngrace_s = 6\n\
    evacuation_ms = 5000\n\
    centres = kolkata:bengal,patna:bihar\nlog = info\nmetrics = 9464\nextra_openings = 0.05\noutliers = on\n\n[agent]\nservice = huvo11a\nbackend = 10.1.0.13:8165\noutbound = 10.1.0.13:8162\n\
    control = 10.1.0.13:8166\n";

fn read(name: &str, text: &str) -> Result<Settings, String> {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&file, text).unwrap();
    Settings::read(&file).map_err(|fault| fault.to_string())
}

/// Guards against a setting that is not read, and an invalid one that the error does not name.
#[test]
fn wrong_settings_are_refused_with_a_number() {
    let settings = read("good", VALID).unwrap();
    assert_eq!(settings.role, Role::Agent);
    assert_eq!((settings.seeds.len(), settings.peer_port), (2, 7720));
    assert_eq!(settings.extra_openings.millionths(), 50_000);
    assert!(settings.outliers);
    let off = VALID.replacen("extra_openings = 0.05\n", "", 1);
    let off = read("off", &off).unwrap();
    assert_eq!(off.extra_openings.millionths(), 0);
    for value in ["", "outliers =\n"] {
        let off = VALID.replacen("outliers = on\n", value, 1);
        assert!(!read("no-outliers", &off).unwrap().outliers);
    }
    let cases = [
        (
            "role = agent",
            "role = king",
            "MU-9103: process.role = 'king'",
        ),
        (
            "address = 10.1.0.13",
            "address = here",
            "MU-9103: process.address",
        ),
        (
            "packets = 10.1.0.13:8172",
            "packets = 10.1.0.13",
            "MU-9103: process.packets",
        ),
        (
            "peer_port = 7720",
            "peer_port = 77200",
            "MU-9103: process.peer_port",
        ),
        ("centre = kolkata", "centre = K", "MU-9103: process.centre"),
        ("grace_s = 6", "grace_s = soon", "MU-9103: process.grace_s"),
        ("grace_s = 6", "grace_s = -1", "MU-9103: process.grace_s"),
        (
            "flow_life_s = 60",
            "flow_life_s = inf",
            "MU-9103: process.flow_life_s",
        ),
        (
            "evacuation_ms = 5000",
            "evacuation_ms = 0",
            "MU-9103: process.evacuation_ms",
        ),
        (
            "evacuation_ms = 5000",
            "evacuation_ms = soon",
            "MU-9103: process.evacuation_ms",
        ),
        (
            "centres = kolkata:bengal",
            "centres = kolkata",
            "MU-9103: process.centres",
        ),
        (
            "centres = kolkata:bengal,patna",
            "centres = kolkata:bengal,kolkata",
            "MU-9103: process.centres",
        ),
        ("log = info", "log = loud", "MU-9103: process.log"),
        (
            "seeds = 10.1.0.10:8166",
            "seeds = x",
            "MU-9103: process.seeds",
        ),
        (
            "outbound = 10.1.0.13:8162",
            "outbound = ",
            "MU-9103: agent.outbound",
        ),
        ("cores = 0.055", "cores = 0", "MU-9103: process.cores"),
        (
            "outliers = on",
            "outliers = yes",
            "MU-9103: process.outliers",
        ),
        (
            "extra_openings = 0.05",
            "extra_openings = 0.51",
            "MU-9103: process.extra_openings",
        ),
        (
            "extra_openings = 0.05",
            "extra_openings = some",
            "MU-9103: process.extra_openings",
        ),
        ("store = 10.200.1.7:8169\n", "", "MU-9101"),
        ("[agent]", "[other]", "MU-9104"),
    ];
    for (index, (from, to, expected)) in cases.into_iter().enumerate() {
        assert!(VALID.contains(from));
        let fault = read(&format!("case-{index}"), &VALID.replacen(from, to, 1)).unwrap_err();
        assert!(fault.starts_with(expected), "{from}: {fault}");
    }
}

/// Guards against evacuations that are read where the platform gives no bound for them.
#[test]
fn evacuations_are_off_without_a_bound() {
    let cases = [
        ("evacuation_ms = 5000\n", Some(Span::from_secs(5))),
        ("evacuation_ms = \n", None),
        ("", None),
    ];
    for (index, (line, expected)) in cases.into_iter().enumerate() {
        let text = VALID.replacen("evacuation_ms = 5000\n", line, 1);
        let settings = read(&format!("evacuation-{index}"), &text).unwrap();
        assert_eq!(settings.evacuation, expected, "{line}");
    }
}

/// Guards against a node that refuses the settings of a deployment which leaves optional keys out.
#[test]
fn optional_keys_may_be_absent() {
    let optional = [
        "seeds = 10.1.0.10:8166,10.2.0.40:8166\n",
        "evacuation_ms = 5000\n",
        "centres = kolkata:bengal,patna:bihar\n",
        "log = info\n",
        "metrics = 9464\n",
        "extra_openings = 0.05\n",
        "outliers = on\n",
    ];
    for line in optional {
        let without = VALID.replacen(line, "", 1);
        assert_ne!(without, VALID);
        assert!(read("without", &without).is_ok(), "{line}");
    }
}

/// Guards against a node that does not start because the platform is older than its template, and leaves
/// the placeholders of optional settings as they are.
#[test]
fn optional_settings_that_are_not_filled_in_have_their_defaults() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let template = fs::read_to_string(root.join("deploy/node.ini")).unwrap();
    for (with_agent, role) in [(false, Role::Balancer), (true, Role::Agent)] {
        let text = render_first_release(&template, with_agent);
        let settings = read("first-release", &text).unwrap();
        assert_eq!(settings.role, role);
        assert_eq!(settings.unfilled, ["evacuation_ms", "centres"]);
        assert_eq!(settings.evacuation, None);
        assert_eq!(settings.centres, Centres::default());
    }
    for (line, key) in [
        ("seeds = 10.1.0.10:8166,10.2.0.40:8166", "seeds"),
        ("log = info", "log"),
        ("metrics = 9464", "metrics"),
        ("extra_openings = 0.05", "extra_openings"),
        ("outliers = on", "outliers"),
    ] {
        let text = VALID.replacen(line, &format!("{key} = {{{{new.field}}}}"), 1);
        assert_ne!(text, VALID);
        assert_eq!(read("unfilled", &text).unwrap().unfilled, [key]);
    }
}

/// Guards against a required setting that is taken from a placeholder, for example as the node's name.
#[test]
fn required_settings_that_are_not_filled_in_are_refused() {
    let required = VALID.lines().filter_map(|line| line.split_once(" = "));
    let optional = [
        "seeds",
        "evacuation_ms",
        "centres",
        "log",
        "metrics",
        "extra_openings",
        "outliers",
    ];
    for (key, value) in required.filter(|(key, _)| !optional.contains(key)) {
        let text = VALID.replacen(
            &format!("{key} = {value}"),
            &format!("{key} = {{{{new.field}}}}"),
            1,
        );
        let fault = read("required", &text).unwrap_err();
        assert!(fault.starts_with("MU-9103"), "{key}: {fault}");
        assert!(fault.contains(key), "{key}: {fault}");
    }
}

/// Guards against a template that lacks a key or has an unused one.
#[test]
fn the_template_has_the_keys_that_are_read() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let template = fs::read_to_string(root.join("deploy/node.ini")).unwrap();
    let keys = |text: &str| -> Vec<String> {
        let lines = text.lines().filter_map(|line| line.split_once('='));
        lines.map(|(key, _)| key.trim().to_owned()).collect()
    };
    assert_eq!(keys(&template), keys(VALID));
}

/// Guards against a signal that ends a process before it has read its settings. The platform may
/// send one at any time, and a slow machine takes long to start.
#[test]
fn a_signal_during_startup_ends_no_process() {
    let fifo = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("early-signal.ini");
    // An earlier run may have left it.
    drop(fs::remove_file(&fifo));
    let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
    rustix::fs::mknodat(rustix::fs::CWD, &fifo, FileType::Fifo, mode, 0).unwrap();
    let mut node = Command::new(env!("CARGO_BIN_EXE_marigoldusher-node"))
        .arg("--settings")
        .arg(&fifo)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Opens when the process begins to read.
    let mut writer = fs::OpenOptions::new().write(true).open(&fifo).unwrap();
    kill_process(Pid::from_child(&node), Signal::HUP).unwrap();
    writer.write_all(b"[process]\nrole = king\n").unwrap();
    drop(writer);
    let status = node.wait().unwrap();
    assert_eq!(status.signal(), None);
    let mut fault = String::new();
    node.stderr.unwrap().read_to_string(&mut fault).unwrap();
    assert!(fault.starts_with("MU-91"), "{fault}");
}
