//! A setting as `roseyard-ingress explain` prints it.

/// The effective value of a setting and its source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingRow {
    /// The section and the name, separated by a dot.
    pub name: String,
    /// The effective value, in the syntax of the file.
    pub value: String,
    /// The file and line that set the value; `default` if the file does not set it; `derived from
    /// other settings` if it is not set but differs from its default because of other settings.
    pub source: String,
    /// What the setting does.
    pub description: &'static str,
    /// The values that the setting allows.
    pub allowed: String,
}
