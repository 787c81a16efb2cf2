use argh::FromArgs;
use usher_config::{Kind, ObjectKey, ObjectName};

use crate::error::CliError;
use crate::output::Output;
use crate::session::{Session, change};

/// Deletes one object.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "delete",
    example = "{command_name} fast",
    note = "A profile that a service selects is not deleted."
)]
pub(crate) struct Delete {
    /// name of the object
    #[argh(positional)]
    name: ObjectName,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Delete {
    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        let key = ObjectKey::new(kind, self.name);
        let cache = session.load().await?;
        let change = change(key.clone(), cache.get(&key), None);
        session.commit(&cache, vec![change]).await
    }
}
