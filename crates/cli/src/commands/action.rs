use argh::FromArgs;
use usher_config::Kind;

use super::delete::Delete;
use super::diff::DiffFile;
use super::edit::Edit;
use super::get::Get;
use super::list::List;
use super::set::Set;
use crate::error::CliError;
use crate::output::Output;
use crate::session::Session;

/// What can be done with profiles and with services.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Action {
    Get(Get),
    List(List),
    Set(Set),
    Edit(Edit),
    Delete(Delete),
    Diff(DiffFile),
}

impl Action {
    /// Whether results and errors are printed as JSON.
    pub(crate) fn json(&self) -> bool {
        match self {
            Self::Get(get) => get.json,
            Self::List(list) => list.json,
            Self::Set(set) => set.json,
            Self::Edit(edit) => edit.json,
            Self::Delete(delete) => delete.json,
            Self::Diff(diff) => diff.json,
        }
    }

    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        match self {
            Self::Get(get) => get.run(session, kind).await,
            Self::List(list) => list.run(session, kind).await,
            Self::Set(set) => set.run(session, kind).await,
            Self::Edit(edit) => edit.run(session, kind).await,
            Self::Delete(delete) => delete.run(session, kind).await,
            Self::Diff(diff) => diff.run(session, kind).await,
        }
    }
}
