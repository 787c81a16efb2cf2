//! Settings files: which are rejected, and whether code, examples and `docs/settings.md` agree.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{env, fs, process};

use serde::Deserialize;
use usher_daemon::{DefaultValue, KEYS, Key, Role, Scope, Settings};

type Sections = BTreeMap<String, BTreeMap<String, String>>;

#[derive(Deserialize)]
struct Row {
    failure: String,
    #[serde(default)]
    set: Sections,
    drop: Option<(String, String)>,
    message: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(role: &str) -> (PathBuf, Sections) {
    let path = root().join(format!("examples/{role}.ini"));
    let text = fs::read_to_string(&path).unwrap();
    (path, serde_ini::from_str(&text).unwrap())
}

fn keys_of(scope: Scope) -> impl Iterator<Item = &'static Key> {
    let reads = move |key: &&Key| key.scope == Scope::Both || key.scope == scope;
    KEYS.iter().filter(reads)
}

/// Guards against the failure that each row names; each row makes a valid file invalid.
#[test]
fn wrong_settings_are_refused() {
    let rows: Vec<Row> = serde_json::from_str(include_str!("data/refused.json")).unwrap();
    let path = env::temp_dir().join(format!("usher-settings-{}.ini", process::id()));
    for row in rows {
        let (_, mut sections) = example("agent");
        for (section, keys) in row.set {
            sections.entry(section).or_default().extend(keys);
        }
        if let Some((section, key)) = row.drop {
            assert!(sections.get_mut(&section).unwrap().remove(&key).is_some());
        }
        fs::write(&path, serde_ini::to_string(&sections).unwrap()).unwrap();
        let error = Settings::load(&path).unwrap_err().to_string();
        let message = row.message.replace("FILE", path.to_str().unwrap());
        assert!(error.starts_with(&message), "{}: {error}", row.failure);
    }
    fs::remove_file(&path).unwrap();
}

/// Guards against an example file that is rejected or lacks a key.
#[test]
fn examples_have_every_key() {
    for (role, scope) in [("balancer", Scope::Balancer), ("agent", Scope::Agent)] {
        let (path, sections) = example(role);
        let settings = Settings::load(&path).unwrap();
        assert_eq!(matches!(settings.role, Role::Agent(_)), role == "agent");
        for key in keys_of(scope) {
            let value = sections
                .get(key.section)
                .and_then(|keys| keys.get(key.name));
            let value = value.unwrap_or_else(|| panic!("{role}: no {} {}", key.section, key.name));
            if let DefaultValue::Value(default) = key.default {
                assert_eq!(value, default, "{role}: default of {}", key.name);
            }
        }
    }
}

/// Guards against a default in `KEYS` that the code does not use, and against a key that is
/// listed as required but is optional.
#[test]
fn keys_that_are_not_required_can_be_left_out() {
    let path = env::temp_dir().join(format!("usher-presets-{}.ini", process::id()));
    for (role, scope) in [("balancer", Scope::Balancer), ("agent", Scope::Agent)] {
        let (_, full) = example(role);
        for key in keys_of(scope) {
            let mut sections = full.clone();
            sections.get_mut(key.section).unwrap().remove(key.name);
            fs::write(&path, serde_ini::to_string(&sections).unwrap()).unwrap();
            let loaded = Settings::load(&path);
            match key.default {
                DefaultValue::Required => {
                    assert!(loaded.unwrap_err().to_string().starts_with("MU-7004"));
                }
                DefaultValue::Unset => drop(loaded.unwrap()),
                DefaultValue::Value(_) => {
                    let file = root().join(format!("examples/{role}.ini"));
                    assert_eq!(
                        loaded.unwrap(),
                        Settings::load(file).unwrap(),
                        "{}",
                        key.name
                    );
                }
            }
        }
    }
    fs::remove_file(&path).unwrap();
}

/// Guards against a page that lacks a key, lists an unknown one or states a wrong default.
#[test]
fn page_lists_every_key() {
    let page = fs::read_to_string(root().join("docs/settings.md")).unwrap();
    let daemon = page
        .split("\n## ")
        .find(|part| part.starts_with("marigoldusherd\n"));
    let rows = daemon.unwrap().lines().filter(|line| line.starts_with('|'));
    let listed: Vec<String> = rows
        .skip(2)
        .map(|row| row.rsplit_once(" | ").unwrap().0.to_owned())
        .collect();
    let expected: Vec<String> = KEYS
        .iter()
        .map(|key| {
            let Key {
                section,
                name,
                scope,
                allowed,
                default,
                unit,
            } = key;
            let unit = unit.unwrap_or("-");
            format!("| {section} | {name} | {scope} | {allowed} | {default} | {unit}")
        })
        .collect();
    assert_eq!(listed, expected);
}
