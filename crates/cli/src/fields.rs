use serde_json::{Map, Value as Json};

use crate::error::CliError;

const METHODS: &str = "methods";

/// Sets one field from a text `key=value`; an empty value removes the field.
///
/// Keys are field names, or `methods.<method>.<field>` for rules of a method.
pub(crate) fn set_field(object: &mut Map<String, Json>, pair: &str) -> Result<(), CliError> {
    let fault = |cause: &str| CliError::Pair {
        pair: pair.to_owned(),
        cause: cause.to_owned(),
    };
    let (key, text) = pair
        .split_once('=')
        .ok_or_else(|| fault("there is no '='"))?;
    let Some(rest) = key.strip_prefix("methods.") else {
        put(object, key, text);
        return Ok(());
    };
    // Names of methods may contain dots.
    let (method, field) = rest
        .rsplit_once('.')
        .ok_or_else(|| fault("no field is named"))?;
    let methods = entry(object, METHODS).ok_or_else(|| fault("methods is not an object"))?;
    let rule = entry(methods, method).ok_or_else(|| fault("the rule is not an object"))?;
    put(rule, field, text);
    if rule.is_empty() {
        methods.remove(method);
    }
    Ok(())
}

fn entry<'a>(object: &'a mut Map<String, Json>, key: &str) -> Option<&'a mut Map<String, Json>> {
    let value = object.entry(key).or_insert_with(|| Map::new().into());
    value.as_object_mut()
}

// Numbers and truth values keep their type; everything else, such as 5ms, is a text.
fn put(object: &mut Map<String, Json>, key: &str, text: &str) {
    if text.is_empty() {
        object.remove(key);
        return;
    }
    let value = serde_json::from_str(text).unwrap_or_else(|_| Json::from(text));
    object.insert(key.to_owned(), value);
}
