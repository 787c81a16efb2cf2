use std::path::PathBuf;

use argh::FromArgs;
use serde_json::{Map, Value as Json};
use usher_config::{Kind, Object, ObjectKey, ObjectName, Value};

use super::list::value_json;
use crate::document::{Draft, parse_value};
use crate::error::CliError;
use crate::fields::set_field;
use crate::output::Output;
use crate::session::{Session, change};

/// Creates an object or changes some of its fields.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "set",
    example = "{command_name} fast hunt=5ms retries=0.1 methods.book.priority=200",
    example = "{command_name} fast --file fast.json",
    note = "Fields that are not named keep their value; `key=` sets a field back to its default. The write depends on the version that was read: if another write comes first, nothing is overwritten and the difference is shown."
)]
pub(crate) struct Set {
    /// name of the object
    #[argh(positional)]
    name: ObjectName,

    /// fields as key=value
    #[argh(positional, arg_name = "key=value")]
    pairs: Vec<String>,

    /// JSON file with the whole value, to which the fields are then applied
    #[argh(option)]
    file: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

impl Set {
    pub(crate) async fn run(self, session: &Session, kind: Kind) -> Result<Output, CliError> {
        let key = ObjectKey::new(kind, self.name.clone());
        let cache = session.load().await?;
        let stored = cache.get(&key);
        let value = self.value(&key, stored)?;
        let change = change(key, stored, Some(value));
        session.commit(&cache, vec![change]).await
    }

    fn value(&self, key: &ObjectKey, stored: Option<&Object>) -> Result<Value, CliError> {
        let base = match &self.file {
            Some(path) => Some(Draft::read(path, key)?.value),
            None => stored.and_then(|object| object.value.clone()),
        };
        let mut fields = match base.as_ref().map(value_json) {
            Some(Json::Object(fields)) => fields,
            _ => Map::new(),
        };
        for pair in &self.pairs {
            set_field(&mut fields, pair)?;
        }
        parse_value(key, fields.into())
    }
}
