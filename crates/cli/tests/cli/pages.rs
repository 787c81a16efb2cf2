//! Checks the settings page, the examples and the deployed template against the tool.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use serde_json::{Value as Json, json};
use usher_cli::{ExitStatus, run};
use usher_types::{MethodRule, Profile};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

// Maps the key of each row of a Markdown table to its default, the third column.
fn rows(table: &str) -> BTreeMap<String, String> {
    let lines = table.lines().filter(|line| line.starts_with("| "));
    let cells = lines.skip(1).map(|line| line.split(" | "));
    cells
        .map(|mut cells| {
            let key = cells.next().unwrap().trim_start_matches("| ");
            (key.to_owned(), cells.nth(1).unwrap().to_owned())
        })
        .collect()
}

fn fields(value: &Json) -> BTreeMap<String, String> {
    let unquoted = |value: &Json| value.as_str().map_or(value.to_string(), str::to_owned);
    let fields = value.as_object().unwrap().iter();
    fields
        .map(|(key, value)| (key.clone(), unquoted(value)))
        .collect()
}

// Guards against a page that omits a profile key or states a wrong default.
#[test]
fn settings_page_lists_profile_keys() {
    let page = fs::read_to_string(root().join("docs/settings.md")).unwrap();
    let (_, profiles) = page.split_once("## Profiles").unwrap();
    let (profile, rule) = profiles.split_once("Keys of a rule").unwrap();
    assert_eq!(rows(profile), fields(&json!(Profile::default())));
    assert_eq!(rows(rule), fields(&json!(MethodRule::default())));
}

// Guards against examples that the tool does not accept.
#[test]
fn examples_are_read() {
    let file = |name: &str| {
        root()
            .join("examples")
            .join(name)
            .to_str()
            .unwrap()
            .to_owned()
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let status = run(&["check", &file("riga.json")], &mut out, &mut err);
    assert_eq!(status, ExitStatus::Ok, "{}", String::from_utf8_lossy(&err));
    // The settings are read before the missing document, and the store is not contacted: MU-8002 for
    // the document shows that the settings were accepted.
    let args = ["--settings", &file("usher.ini"), "apply", "missing.json"];
    assert_eq!(run(&args, &mut out, &mut err), ExitStatus::Failed);
    let text = String::from_utf8(err).unwrap();
    assert!(text.contains("MU-8002: missing.json"), "{text}");
}

// Guards against a `check` that accepts a template with which no node can start.
#[test]
fn the_deployed_template_is_checked() {
    let deployed = root().join("deploy/node.ini");
    let template = fs::read_to_string(&deployed).unwrap();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let check = |name: &str, text: &str| {
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, text).unwrap();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let status = run(&["check", file.to_str().unwrap()], &mut out, &mut err);
        out.extend(err);
        (status, String::from_utf8(out).unwrap())
    };
    let (status, text) = check("deployed", &template);
    assert_eq!(status, ExitStatus::Ok);
    let defaults = "defaults hold on a platform of the first release: evacuation_ms, centres";
    assert!(text.contains(defaults), "{text}");
    let cases = [
        ("{{zone}}", "{{zones}}", "MU-9208"),
        ("cores = ", "kernels = ", "MU-9101"),
        ("grace_s = ", "grace_s = x", "MU-9103"),
        ("outbound = ", "outbound = x", "MU-9103"),
        ("[agent]", "[agents]", "MU-9104"),
    ];
    for (index, (from, to, expected)) in cases.into_iter().enumerate() {
        assert!(template.contains(from));
        let (status, text) = check(&format!("case-{index}"), &template.replacen(from, to, 1));
        assert_eq!(status, ExitStatus::Failed, "{from}: {text}");
        assert!(text.contains(expected), "{from}: {text}");
    }
}
