//! One entry of the schema.

use crate::settings::OperatorSettings;
use crate::value::Value;
use crate::value_kind::ValueKind;

/// A setting of the operator's file.
pub(crate) struct Setting {
    /// The section that contains the setting.
    pub section: &'static str,
    /// The name within the section.
    pub name: &'static str,
    /// The kind of value that the setting takes, with its bounds.
    pub kind: ValueKind,
    /// What the setting does, as `roseyard-ingress explain` prints it.
    pub description: &'static str,
    /// Writes a value of this kind to the settings.
    pub apply: fn(&mut OperatorSettings, &Value),
    /// Formats the value that the settings contain, in the syntax of the file.
    pub format: fn(&OperatorSettings) -> String,
}
