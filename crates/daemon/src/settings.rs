//! Program settings from command-line flags and environment variables.

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches};

/// Exit status of a program with invalid settings.
pub const EXIT_BAD_SETTINGS: u8 = 2;

const CHECK_SETTINGS_FLAG: &str = "check-settings";

fn environment_name(flag: &str) -> String {
    format!("HEATHERWEIR_{}", flag.to_uppercase().replace('-', "_"))
}

/// Creates a flag that can also be set by the environment variable `HEATHERWEIR_NAME`, where `NAME`
/// is the flag's name in capitals with underscores.
pub fn setting_flag(name: &'static str, help: &'static str, parser: impl Into<ValueParser>) -> Arg {
    Arg::new(name)
        .long(name)
        .env(environment_name(name))
        .value_name("VALUE")
        .help(help)
        .value_parser(parser.into())
}

/// Creates a flag that may be repeated. A value, also that of the environment variable, may be a
/// comma-separated list.
pub fn list_flag(name: &'static str, help: &'static str, parser: impl Into<ValueParser>) -> Arg {
    setting_flag(name, help, parser).action(ArgAction::Append).value_delimiter(',')
}

/// Creates the flag `--check-settings`, with which a program validates its settings and exits.
pub fn check_only_flag() -> Arg {
    Arg::new(CHECK_SETTINGS_FLAG)
        .long(CHECK_SETTINGS_FLAG)
        .help("Checks the settings and exits")
        .action(ArgAction::SetTrue)
}

/// Returns whether the flag `--check-settings` is set.
pub fn is_check_only(matches: &ArgMatches) -> bool {
    matches.get_flag(CHECK_SETTINGS_FLAG)
}

/// Returns the value of a flag that is required or has a default.
///
/// # Panics
///
/// Panics if the flag has no value because it is neither required nor has a default.
pub fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("the flag is declared as required or has a default")
}

/// Returns the value of a flag, or `None` if it is not set.
pub fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// Returns all values of a flag that may be repeated.
pub fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).into_iter().flatten().cloned().collect()
}
