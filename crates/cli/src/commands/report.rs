use argh::FromArgs;
use serde_json::json;
use usher_config::{Cache, Kind, ObjectKey, Value};
use usher_types::{ServiceName, Share};

use crate::burn_report::BurnReport;
use crate::error::CliError;
use crate::output::Output;
use crate::processes::query_all;
use crate::session::Session;

/// Reports on services, summed over their hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report", example = "{command_name} burn")]
pub(crate) struct Report {
    #[argh(subcommand)]
    pub(crate) subject: Subject,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Subject {
    Burn(Burn),
}

/// Goodput, errors and late answers, and how fast they spend the error budget.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "burn",
    example = "{command_name}",
    example = "{command_name} --service booking-desk --json",
    note = "The windows are 5 minutes, 1 hour and 30 days. A burn rate of 1 spends the budget of the profile's objective within exactly 30 days.",
    note = "Each agent counts for as long as it runs and does not hand its counts over: COVERED names the longest time that a host has counted for, and hosts that do not answer are listed."
)]
pub(crate) struct Burn {
    /// only this service
    #[argh(option)]
    service: Option<ServiceName>,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Report {
    /// Whether results and errors are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        let Subject::Burn(burn) = &self.subject;
        burn.json
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Output, CliError> {
        let Subject::Burn(burn) = self.subject;
        burn.run(session).await
    }
}

impl Burn {
    async fn run(self, session: &Session) -> Result<Output, CliError> {
        let mut services = objectives(&session.load().await?);
        if let Some(only) = self.service {
            services.retain(|(name, _)| *name == only);
            if services.is_empty() {
                let key = ObjectKey::new(Kind::Service, (&only).into());
                return Err(CliError::Missing(key));
            }
        }
        let processes = query_all(session.store()).await?;
        let reports: Vec<BurnReport> = services
            .into_iter()
            .map(|(name, objective)| BurnReport::new(name, objective, &processes))
            .collect();
        let texts: Vec<String> = reports.iter().map(BurnReport::text).collect();
        let objects: Vec<_> = reports.iter().map(BurnReport::json).collect();
        Ok(Output {
            text: texts.join("\n"),
            json: json!({ "services": objects }),
        })
    }
}

// Services that have a profile, with the objective of that profile.
fn objectives(cache: &Cache) -> Vec<(ServiceName, Share)> {
    let services = cache.list(Kind::Service).filter_map(|object| {
        let Some(Value::Service(service)) = &object.value else {
            return None;
        };
        let key = ObjectKey::new(Kind::Profile, (&service.profile).into());
        let Some(Value::Profile(profile)) = &cache.get(&key)?.value else {
            return None;
        };
        Some((object.name.as_str().parse().ok()?, profile.objective))
    });
    services.collect()
}
