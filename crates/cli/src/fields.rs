use serde_json::{Map, Value as Json};

use crate::error::CliError;

const METHODS: &str = "methods";

/// Sets one field from `key=value`; an empty value removes the field.
///
/// A key is a field name, or `methods.<method>.<field>` for the rule of a method.
pub(crate) fn set_field(object: &mut Map<String, Json>, pair: &str) -> Result<(), CliError> {
    let pair_error = |cause: &str| CliError::InvalidPair {
        pair: pair.to_owned(),
        cause: cause.to_owned(),
    };
    let (key, text) = pair
        .split_once('=')
        .ok_or_else(|| pair_error("'=' is missing"))?;
    let Some(rest) = key.strip_prefix("methods.") else {
        set_or_remove(object, key, text);
        return Ok(());
    };
    // Method names may contain dots, so the field starts after the last one.
    let (method, field) = rest
        .rsplit_once('.')
        .ok_or_else(|| pair_error("the name of the field is missing"))?;
    let methods =
        object_entry(object, METHODS).ok_or_else(|| pair_error("methods is not an object"))?;
    let rule =
        object_entry(methods, method).ok_or_else(|| pair_error("the rule is not an object"))?;
    set_or_remove(rule, field, text);
    if rule.is_empty() {
        methods.remove(method);
    }
    Ok(())
}

// Returns the object under a key, which is created if missing; `None` if it is not an object.
fn object_entry<'a>(
    object: &'a mut Map<String, Json>,
    key: &str,
) -> Option<&'a mut Map<String, Json>> {
    let value = object.entry(key).or_insert_with(|| Map::new().into());
    value.as_object_mut()
}

// Valid JSON, such as a number or a boolean, keeps its type; other text, such as 5ms, becomes a
// string.
fn set_or_remove(object: &mut Map<String, Json>, key: &str, text: &str) {
    if text.is_empty() {
        object.remove(key);
        return;
    }
    let value = serde_json::from_str(text).unwrap_or_else(|_| Json::from(text));
    object.insert(key.to_owned(), value);
}
