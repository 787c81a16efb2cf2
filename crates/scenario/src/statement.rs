use std::str::FromStr;

use usher_types::{DataCentre, HostId, InstanceId, Peer, ProfileName, ServiceName, Slots, Span};

use crate::error::Cause;
use crate::expectation::{Expectation, Relation};
use crate::fault::{BackendMode, Fault, Setting};

/// One parsed line of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Statement {
    Seed(u64),
    Service(ServiceSpec),
    Balancers(usize, DataCentre),
    Run(Span),
    Load(Load),
    At(Span, Fault),
    Expect(Expectation),
}

/// Declares a service and its hosts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServiceSpec {
    pub(crate) name: ServiceName,
    pub(crate) hosts: usize,
    pub(crate) slots: Slots,
    pub(crate) profile: ProfileName,
    pub(crate) centre: DataCentre,
}

/// Requests to one method of a service, sent at a fixed interval.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Load {
    pub(crate) every: Span,
    pub(crate) method: String,
    pub(crate) service: ServiceName,
    /// Mean duration of a run; the actual one lies between 0.5 and 1.5 times as much.
    pub(crate) takes: Span,
    pub(crate) deadline: Span,
    /// Whether the request must run at most once.
    pub(crate) once: bool,
}

impl Statement {
    /// Parses one line that is neither empty nor a comment.
    pub(crate) fn parse(line: usize, text: &str) -> Result<Self, Cause> {
        let words: Vec<&str> = text.split_whitespace().collect();
        Ok(match words.as_slice() {
            ["seed", seed] => Self::Seed(number(seed)?),
            [
                "service",
                name,
                "hosts",
                hosts,
                "slots",
                slots,
                "profile",
                profile,
                "centre",
                centre,
            ] => Self::Service(ServiceSpec {
                name: name.parse()?,
                hosts: number(hosts)?,
                slots: slots.parse()?,
                profile: profile.parse()?,
                centre: centre.parse()?,
            }),
            ["balancers", count, "centre", centre] => {
                Self::Balancers(number(count)?, centre.parse()?)
            }
            ["run", span] => Self::Run(span.parse()?),
            [
                "every",
                every,
                "request",
                method,
                "to",
                service,
                "takes",
                takes,
                "deadline",
                deadline,
                rest @ ..,
            ] if matches!(rest, [] | ["once"]) => Self::Load(Load {
                every: every.parse()?,
                method: (*method).to_owned(),
                service: service.parse()?,
                takes: takes.parse()?,
                deadline: deadline.parse()?,
                once: !rest.is_empty(),
            }),
            ["expect", rest @ ..] => Self::Expect(expectation(line, rest)?),
            ["at", time, rest @ ..] => Self::At(time.parse()?, fault(rest)?),
            rest => Self::At(Span::ZERO, Fault::Setting(setting(rest)?)),
        })
    }
}

fn expectation(line: usize, words: &[&str]) -> Result<Expectation, Cause> {
    let (words, after) = match words {
        [head @ .., "after", span] => (head, span.parse()?),
        all => (all, Span::ZERO),
    };
    let (name, relation, limit) = match words {
        [name @ .., "within", span] => {
            let span: Span = span.parse()?;
            (name, Relation::AtMost, span.as_secs_f64())
        }
        [name @ .., "<=", limit] => (name, Relation::AtMost, number(limit)?),
        [name @ .., ">=", limit] => (name, Relation::AtLeast, number(limit)?),
        [name @ .., limit] => (name, Relation::Equal, number(limit)?),
        [] => return Err(Cause::Statement),
    };
    Ok(Expectation {
        line,
        name: name.join(" "),
        relation,
        limit,
        after,
    })
}

fn fault(words: &[&str]) -> Result<Fault, Cause> {
    Ok(match words {
        ["kill", kind, name] => Fault::Kill(peer(kind, name)?),
        ["start", "balancer", name] => Fault::StartBalancer(peer("balancer", name)?),
        ["start", "host", name, "service", service] => {
            Fault::StartHost(name.parse()?, service.parse()?)
        }
        ["stop", "host", name] => stop(name, false)?,
        ["restart", "host", name] => stop(name, true)?,
        ["drain", "host", name] => Fault::Drain(name.parse()?),
        ["freeze", kind, name, "for", span] => Fault::Freeze(peer(kind, name)?, span.parse()?),
        ["cut", from, to @ .., "for", span] => Fault::Cut(
            (*from).to_owned(),
            to.iter().map(|name| (*name).to_owned()).collect(),
            span.parse()?,
        ),
        ["store", "down", "for", span] => Fault::StoreDown(span.parse()?),
        ["store", "lose-answers", count] => Fault::LoseAnswers(number(count)?),
        ["store", "stale", "for", span] => Fault::StoreStale(span.parse()?),
        ["store", "copy"] => Fault::CopyStore,
        ["store", "restore"] => Fault::RestoreStore,
        ["set", "profile", name, fields @ ..] => Fault::SetProfile(
            name.parse()?,
            fields.iter().map(|field| (*field).to_owned()).collect(),
        ),
        ["race", "profile", name, first, "/", second] => {
            let fields = [(*first).to_owned(), (*second).to_owned()];
            Fault::RaceProfile(name.parse()?, fields)
        }
        ["delete", "profile", name] => Fault::DeleteProfile(name.parse()?),
        ["swap", "addresses", first, second] => Fault::Swap(first.parse()?, second.parse()?),
        ["backend", host, mode, "for", span] => {
            Fault::Backend(host.parse()?, backend_mode(mode)?, span.parse()?)
        }
        ["open", count, "flows", service] => Fault::OpenFlows(number(count)?, service.parse()?),
        rest => Fault::Setting(setting(rest)?),
    })
}

fn setting(words: &[&str]) -> Result<Setting, Cause> {
    Ok(match words {
        ["delay", least, greatest] => Setting::Delay(least.parse()?, greatest.parse()?),
        ["loss", share] => Setting::Loss(percent(share)?),
        ["duplicate", share] => Setting::Duplicate(percent(share)?),
        ["late", share, span] => Setting::Late(percent(share)?, span.parse()?),
        ["watch", least, greatest] => Setting::Watch(least.parse()?, greatest.parse()?),
        ["twice", share] => Setting::Twice(percent(share)?),
        ["resend", "after", span, "attempts", count] => {
            Setting::Resend(span.parse()?, number(count)?)
        }
        ["answer", length] => Setting::Answer(number(length)?),
        _ => return Err(Cause::Statement),
    })
}

fn stop(host: &str, restart: bool) -> Result<Fault, Cause> {
    let host = host.parse()?;
    Ok(Fault::Stop { host, restart })
}

fn peer(kind: &str, name: &str) -> Result<Peer, Cause> {
    match kind {
        "host" => Ok(Peer::Host(name.parse::<HostId>()?)),
        "balancer" => Ok(Peer::Instance(name.parse::<InstanceId>()?)),
        _ => Err(Cause::Statement),
    }
}

fn backend_mode(text: &str) -> Result<BackendMode, Cause> {
    match text {
        "down" => Ok(BackendMode::Down),
        "fails" => Ok(BackendMode::Fails),
        _ => Err(Cause::Statement),
    }
}

fn percent(text: &str) -> Result<f64, Cause> {
    let invalid = || Cause::Value(format!("{text:?} is no percentage"));
    let digits = text.strip_suffix('%').ok_or_else(invalid)?;
    let share = number::<f64>(digits)? / 100.0;
    (0.0..=1.0)
        .contains(&share)
        .then_some(share)
        .ok_or_else(invalid)
}

fn number<T: FromStr>(text: &str) -> Result<T, Cause> {
    let parsed = text.parse().ok();
    parsed.ok_or_else(|| Cause::Value(format!("{text:?} is no number in range")))
}
