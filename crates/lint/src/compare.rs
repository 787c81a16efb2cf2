use indexmap::IndexMap;

use crate::{Change, ChangeKind, Draft, DraftRoute, DraftService, FieldChange};

type Fields = Vec<(&'static str, String)>;

/// What a document changes: routes by their address, services by their name.
///
/// Entries that cannot be used, and routes that a later one hides, count as absent.
///
/// ```
/// use usher_lint::{Draft, DraftService, compare};
/// use usher_types::Label;
/// let empty = Draft { version: Label::new(1), routes: vec![], services: vec![] };
/// let service = DraftService { name: "desk".to_owned(), warmup: None, cold_rate: None };
/// let draft = Draft { version: Label::new(2), services: vec![Ok(service)], ..empty.clone() };
/// assert_eq!(compare(&empty, &draft)[0].to_string(), "+ service desk");
/// ```
pub fn compare(in_force: &Draft, draft: &Draft) -> Vec<Change> {
    let mut changes = differences(&routes(in_force), &routes(draft));
    changes.extend(differences(&services(in_force), &services(draft)));
    changes
}

fn routes(draft: &Draft) -> IndexMap<String, Fields> {
    let routes = draft.usable_routes();
    routes
        .map(|route| (format!("route {}", route.address), route_fields(route)))
        .collect()
}

fn services(draft: &Draft) -> IndexMap<String, Fields> {
    let services = draft.usable_services();
    services
        .map(|service| (format!("service {}", service.name), service_fields(service)))
        .collect()
}

fn route_fields(route: &DraftRoute) -> Fields {
    let shares = route.shares.iter();
    let shares: Vec<String> = shares
        .map(|(service, share)| format!("{service}={share}"))
        .collect();
    let services = route.service.clone().unwrap_or_else(|| shares.join(" "));
    vec![
        ("name", route.name.clone()),
        (
            "services",
            or_none(Some(services).filter(|text| !text.is_empty())),
        ),
        ("type", or_none(route.request_type.as_ref())),
        ("time-out", route.timeout.to_string()),
        ("target", or_none(route.target)),
        ("rank", route.rank.to_string()),
        ("regions", regions(route)),
    ]
}

// Entries that name no region count: a route with only these reaches no host.
fn regions(route: &DraftRoute) -> String {
    if route.regions.is_empty() {
        return "all".to_owned();
    }
    let names = route.regions.iter().map(|region| match region {
        Ok(region) => region.to_string(),
        Err(text) => text.clone(),
    });
    names.collect::<Vec<_>>().join(" ")
}

fn service_fields(service: &DraftService) -> Fields {
    vec![
        ("warm-up", or_none(service.warmup)),
        ("rate while cold", or_none(service.cold_rate)),
    ]
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

fn differences(before: &IndexMap<String, Fields>, after: &IndexMap<String, Fields>) -> Vec<Change> {
    let mut changes = Vec::new();
    for (entry, old) in before {
        let kind = match after.get(entry) {
            None => ChangeKind::Dropped,
            Some(new) if new == old => continue,
            Some(new) => ChangeKind::Changed(changed_fields(old, new)),
        };
        let entry = entry.clone();
        changes.push(Change { entry, kind });
    }
    let added = after.keys().filter(|entry| !before.contains_key(*entry));
    changes.extend(added.map(|entry| Change {
        entry: entry.clone(),
        kind: ChangeKind::Added,
    }));
    changes
}

fn changed_fields(old: &Fields, new: &Fields) -> Vec<FieldChange> {
    let pairs = old.iter().zip(new).filter(|(old, new)| old != new);
    pairs
        .map(|((field, before), (_, after))| FieldChange {
            field,
            before: before.clone(),
            after: after.clone(),
        })
        .collect()
}
