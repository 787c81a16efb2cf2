//! Commands of the tool against a stand-in store.

use serde_json::{Value as Json, json};
use usher_cli::{ExitStatus, run};

use crate::shell::Shell;

// Guards against `apply` writing part of a faulty document, and `check` accepting it.
#[test]
fn refused_documents_write_nothing() {
    let shell = Shell::new("refused");
    let rows: Vec<Json> = serde_json::from_str(include_str!("refused.json")).unwrap();
    for row in rows {
        let file = shell.file("refused.json", &row["document"].to_string());
        let message = row["message"].as_str().unwrap();
        for command in ["apply", "check"] {
            shell.refused(&format!("{command} {file}"), ExitStatus::Failed, message);
        }
        assert_eq!(shell.writes(), 0, "{}", row["guards_against"]);
    }
}

// Guards against a change of one object that makes another one invalid, and against writes by
// refused commands.
#[test]
fn objects_are_set_moved_and_deleted() {
    let shell = Shell::new("objects");
    shell.ok("profile set fast hunt=7ms methods.schedule.read.long=true");
    shell.ok("service set desk address=192.0.2.1:80 profile=fast");
    let fast: Json = serde_json::from_str(&shell.ok("profile get fast --json")).unwrap();
    assert_eq!(fast["value"]["hunt"], "7ms");
    assert_eq!(fast["value"]["methods"]["schedule.read"]["long"], true);
    let failed = ExitStatus::Failed;
    shell.refused("profile delete fast", failed, "MU-2009");
    shell.refused("profile set fast buckets=64", failed, "MU-2012");
    shell.refused("profile set fast hunt=fast", failed, "MU-8005");
    shell.refused(
        "service set map address=192.0.2.1:80 profile=fast",
        failed,
        "MU-2007",
    );
    shell.refused("service get map", failed, "MU-8003");
    assert_eq!(shell.writes(), 2);
    shell.ok("service delete desk");
    shell.ok("service set map address=192.0.2.1:80 profile=fast");
    let list: Json = serde_json::from_str(&shell.ok("service list --json")).unwrap();
    let map = &list["objects"][0]["value"];
    assert!(
        map["generation"].as_u64() > Some(2),
        "the generation is not above that of the deleted service: {map}"
    );
    assert!(shell.ok("profile list").contains("fast  1        4096"));
}

// Guards against an edit that overwrites a change made after the object was read.
#[test]
fn edit_of_an_older_version_is_a_conflict() {
    let shell = Shell::new("edit");
    shell.ok("profile set fast hunt=5ms");
    let mut draft: Json = serde_json::from_str(&shell.ok("profile get fast --json")).unwrap();
    draft["value"]["hunt"] = json!("9ms");
    let file = shell.file("fast.json", &draft.to_string());
    assert_eq!(
        shell.ok(&format!("profile diff fast {file}")),
        "hunt: 5ms -> 9ms\n"
    );
    shell.ok("profile set fast hunt=6ms");
    let edit = format!("profile edit fast {file}");
    shell.refused(&edit, ExitStatus::Conflict, "hunt: 6ms -> 9ms");
    shell.refused(
        &format!("{edit} --json"),
        ExitStatus::Conflict,
        "\"code\":\"MU-8009\"",
    );
    shell.refused(
        &format!("profile edit slow {file}"),
        ExitStatus::Failed,
        "not profile/slow",
    );
    assert_eq!(shell.writes(), 2);
    draft["version"] = json!(2);
    let file = shell.file("fast.json", &draft.to_string());
    shell.ok(&format!("profile edit fast {file}"));
    assert!(shell.ok("profile get fast").contains("9ms"));
}

// Guards against overwriting a change that is made between read and write, and against an `apply`
// that stops there without naming the objects that it has written.
#[test]
fn lost_race_stops_and_names_what_was_written() {
    let shell = Shell::new("race");
    shell.ok("profile set slow hunt=5ms");
    shell.faults(&json!({ "stale": true }));
    shell.ok("profile set slow hunt=6ms");
    shell.refused(
        "profile set slow hunt=7ms",
        ExitStatus::Conflict,
        "hunt: 6ms -> 7ms",
    );
    let document = json!({ "profiles": { "fast": {}, "slow": { "hunt": "8ms" } } });
    let file = shell.file("race.json", &document.to_string());
    let (status, text) = shell.run(&format!("apply {file} --json"));
    assert_eq!(status, ExitStatus::Conflict, "{text}");
    assert!(
        text.contains("stopped after 1 of 2 writes (profile/fast)"),
        "{text}"
    );
    shell.faults(&json!({}));
    assert!(shell.ok("profile get slow").contains("6ms"));
    shell.ok("profile get fast");
}

// Guards against an entry of another tool that keeps operators from every change, and against a check
// that passes over an unreadable object of the project's own.
#[test]
fn entries_of_other_tools_stop_no_command() {
    let shell = Shell::new("odd");
    let deep = "[".repeat(300) + &"]".repeat(300);
    let entry =
        |name: &str| format!(r#"{{"meta":{{"name":"{name}","revision":1}},"spec":{deep}}}"#);
    shell.add_odd(&entry("painting.odd"));
    shell.add_odd(&entry("odd"));
    shell.ok("profile set fast hunt=5ms");
    shell.add_odd(&entry("profile.odd"));
    shell.refused(
        "profile set fast hunt=6ms",
        ExitStatus::Failed,
        "profile/odd",
    );
}

// Guards against reporting a write as failed when only its answer was lost.
#[test]
fn lost_answer_is_no_failure() {
    let shell = Shell::new("lost");
    shell.faults(&json!({ "lose_answers": 1 }));
    assert!(shell.ok("profile set fast hunt=5ms").contains("created"));
    assert_eq!(shell.writes(), 1);
}

// Guards against a repeated `apply` that rewrites unchanged objects.
#[test]
fn apply_is_repeatable() {
    let shell = Shell::new("apply");
    let document = json!({
        "profiles": { "fast": {} },
        "services": { "desk": { "address": "192.0.2.1:80", "profile": "fast" } }
    });
    let file = shell.file("riga.json", &document.to_string());
    let ini = shell.file("usher.ini", &format!("[store]\naddress={}\n", shell.store));
    let mut out = Vec::new();
    let args = ["--settings", &ini, "apply", &file];
    assert_eq!(run(&args, &mut out, &mut Vec::new()), ExitStatus::Ok);
    assert!(
        shell
            .ok(&format!("apply {file}"))
            .contains("service/desk  unchanged")
    );
    assert_eq!(shell.writes(), 2);
}

// Guards against an invalid command line that is accepted, and against help without examples.
#[test]
fn usage_is_checked() {
    let shell = Shell::new("usage");
    shell.refused("profile set", ExitStatus::Usage, "name");
    shell.refused("profile get Upper", ExitStatus::Usage, "MU-2001");
    let mut err = Vec::new();
    let status = run(&["profile", "list"], &mut Vec::new(), &mut err);
    assert_eq!(status, ExitStatus::Usage);
    assert!(String::from_utf8(err).unwrap().contains("MU-8001"));
    assert!(shell.ok("apply --help").contains("loses a race"));
    let help = include_str!("help.txt").lines();
    for command in help {
        let text = shell.ok(&format!("{command} --help"));
        assert!(text.contains("Examples"), "{command}: {text}");
    }
    assert!(shell.ok("--help").contains("Examples"));
}
