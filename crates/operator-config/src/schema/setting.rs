//! What the schema says of one setting.

use crate::settings::OperatorSettings;
use crate::value::Value;
use crate::value_kind::ValueKind;

/// One setting of the file.
pub(crate) struct Setting {
    pub section: &'static str,
    pub name: &'static str,
    pub kind: ValueKind,
    /// What it is for, as `explain` prints it.
    pub description: &'static str,
    /// Changes the settings in force to a value.
    pub apply: fn(&mut OperatorSettings, &Value),
    /// Its value in force, as the file would have it.
    pub format: fn(&OperatorSettings) -> String,
}
