use std::fmt;

use serde::Serialize;

/// A difference between the document in force and a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// What differs, for example `route 198.18.0.1:443`.
    pub entry: String,
    /// How it differs.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// How an entry differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change", content = "fields")]
pub enum ChangeKind {
    /// Only the new document has it.
    Added,
    /// Only the document in force has it.
    Dropped,
    /// Both have it, with other values.
    Changed(Vec<FieldChange>),
}

/// A field with another value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: &'static str,
    /// Its value in force.
    pub before: String,
    /// Its new value.
    pub after: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {entry}"),
            ChangeKind::Dropped => write!(f, "- {entry}"),
            ChangeKind::Changed(fields) => {
                write!(f, "~ {entry}:")?;
                for (index, change) in fields.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    let FieldChange {
                        field,
                        before,
                        after,
                    } = change;
                    write!(f, "{separator} {field} {before} -> {after}")?;
                }
                Ok(())
            }
        }
    }
}
