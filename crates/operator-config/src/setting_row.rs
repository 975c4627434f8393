//! One setting as `roseyard-ingress explain` prints it.

/// A setting in force, with its source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingRow {
    /// Section and name, separated by a dot.
    pub name: String,
    /// Its value, as it would stand in the file.
    pub value: String,
    /// The file and line that set it; `default` or `follows from others` if none does.
    pub source: String,
    /// What it is for.
    pub description: &'static str,
    /// The values that are allowed.
    pub allowed: String,
}
