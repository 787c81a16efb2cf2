use indexmap::{IndexMap, IndexSet};
use usher_types::Span;

use crate::{Draft, DraftRoute, DraftService, Fault};

/// Faults of a document by itself, in the order of its entries.
///
/// ```
/// use usher_lint::{Draft, Level, Unusable, check};
/// use usher_types::Label;
/// let entry = Unusable { entry: "route 1".to_owned(), cause: "no address".to_owned() };
/// let draft = Draft { version: Label::new(7), routes: vec![Err(entry)], services: vec![] };
/// assert_eq!(check(&draft)[0].level(), Level::Error);
/// ```
pub fn check(draft: &Draft) -> Vec<Fault> {
    let mut faults = Vec::new();
    for entry in &draft.routes {
        match entry {
            Ok(route) => check_route(route, &mut faults),
            Err(unusable) => faults.push(Fault::Unusable {
                entry: unusable.entry.clone(),
                cause: unusable.cause.clone(),
            }),
        }
    }
    check_addresses(draft, &mut faults);
    for entry in &draft.services {
        match entry {
            Ok(service) => check_service(service, &mut faults),
            Err(unusable) => faults.push(Fault::Unusable {
                entry: unusable.entry.clone(),
                cause: unusable.cause.clone(),
            }),
        }
    }
    check_names(draft, &mut faults);
    faults
}

/// Whether balancers would take a document in place of the one in force.
///
/// ```
/// use usher_lint::{Draft, check_order};
/// use usher_types::Label;
/// let draft = |number| Draft { version: Label::new(number), routes: vec![], services: vec![] };
/// assert!(check_order(&draft(7), &draft(7)).is_some());
/// assert!(check_order(&draft(7), &draft(8)).is_none());
/// ```
pub fn check_order(in_force: &Draft, draft: &Draft) -> Option<Fault> {
    (draft.version <= in_force.version).then_some(Fault::Outdated {
        offered: draft.version,
        current: in_force.version,
    })
}

fn check_route(route: &DraftRoute, faults: &mut Vec<Fault>) {
    let entry = format!("route {}", route.name);
    let mut limits = |cause| {
        let entry = entry.clone();
        faults.push(Fault::Limits { entry, cause });
    };
    if route.timeout == Span::ZERO {
        limits("the time-out is 0".to_owned());
    }
    if let Some(target) = route.target {
        if target == Span::ZERO {
            limits("the target is 0".to_owned());
        } else if target > route.timeout {
            let timeout = route.timeout;
            limits(format!(
                "the target {target} is above the time-out {timeout}"
            ));
        }
    }
    check_regions(route, faults);
    if route.service.is_some() {
        if !route.shares.is_empty() {
            let cause = "has one service and a list of services, which is not used";
            faults.push(Fault::Unused { entry, cause });
        }
        return;
    }
    let cause = if route.shares.is_empty() {
        "it names none"
    } else if route.shares.iter().all(|(_, share)| *share == 0) {
        "all weights are 0"
    } else {
        for (service, share) in &route.shares {
            if *share == 0 {
                let entry = format!("service {service} of route {}", route.name);
                let cause = "has the weight 0 and gets no flow";
                faults.push(Fault::Unused { entry, cause });
            }
        }
        return;
    };
    let route = route.name.clone();
    faults.push(Fault::NoService { route, cause });
}

// Regions that no host can have do not lift the restriction, so with no other the route reaches none.
fn check_regions(route: &DraftRoute, faults: &mut Vec<Fault>) {
    let invalid = route
        .regions
        .iter()
        .filter_map(|region| region.as_ref().err());
    if !route.regions.is_empty() && route.regions.iter().all(Result::is_err) {
        faults.push(Fault::NoService {
            route: route.name.clone(),
            cause: "none of its regions is a name that a host can have",
        });
        return;
    }
    faults.extend(invalid.map(|text| Fault::Unused {
        entry: format!("region {text} of route {}", route.name),
        cause: "is not a name that a host can have",
    }));
}

// The last route of an address is the one in force.
fn check_addresses(draft: &Draft, faults: &mut Vec<Fault>) {
    let last: IndexMap<_, _> = draft
        .usable_routes()
        .enumerate()
        .map(|(index, route)| (route.address, (index, route)))
        .collect();
    for (index, route) in draft.usable_routes().enumerate() {
        let (later_index, later) = last[&route.address];
        if later_index != index {
            faults.push(Fault::Hidden {
                route: route.name.clone(),
                later: later.name.clone(),
                address: route.address,
            });
        }
    }
}

fn check_service(service: &DraftService, faults: &mut Vec<Fault>) {
    let is_cold = service.warmup.is_some_and(|warmup| warmup > Span::ZERO);
    let rate = service.cold_rate.filter(|rate| rate.get() > 0.0);
    if let (Some(rate), false) = (rate, is_cold) {
        faults.push(Fault::Limits {
            entry: format!("service {}", service.name),
            cause: format!("the rate {rate} of cold hosts has no warm-up time"),
        });
    }
}

// A document need not list its services; if it does, a name in one place only may be misspelt. An
// entry that cannot be decoded may have the name.
fn check_names(draft: &Draft, faults: &mut Vec<Fault>) {
    if draft.routes.iter().any(Result::is_err) || draft.services.iter().any(Result::is_err) {
        return;
    }
    let routes = || draft.usable_routes();
    let used: IndexSet<&str> = routes().flat_map(DraftRoute::used_services).collect();
    let mut listed = IndexSet::new();
    for service in draft.usable_services() {
        let name = service.name.as_str();
        let cause = if !listed.insert(name) {
            "is listed more than once"
        } else if !used.contains(name) {
            "is named by no route"
        } else {
            continue;
        };
        let entry = format!("service {name}");
        faults.push(Fault::Unused { entry, cause });
    }
    if draft.services.is_empty() {
        return;
    }
    for name in used.iter().filter(|name| !listed.contains(**name)) {
        let entry = format!("service {name}");
        let cause = "is named by a route and not listed, so it has no warm-up";
        faults.push(Fault::Unused { entry, cause });
    }
}
