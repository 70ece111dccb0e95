//! Settings from flags and environment variables.

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches};

/// Exit status of a program whose settings are unusable.
pub const EXIT_BAD_SETTINGS: u8 = 2;

const CHECK_FLAG: &str = "check-settings";

fn environment_name(flag: &str) -> String {
    format!("HEATHERWEIR_{}", flag.to_uppercase().replace('-', "_"))
}

/// Makes a flag that an environment variable `HEATHERWEIR_...` also sets.
pub fn setting_flag(name: &'static str, help: &'static str, parser: impl Into<ValueParser>) -> Arg {
    Arg::new(name)
        .long(name)
        .env(environment_name(name))
        .value_name("VALUE")
        .help(help)
        .value_parser(parser.into())
}

/// Makes a flag that may be repeated; its environment variable holds a comma-separated list.
pub fn list_flag(name: &'static str, help: &'static str, parser: impl Into<ValueParser>) -> Arg {
    setting_flag(name, help, parser).action(ArgAction::Append).value_delimiter(',')
}

/// Makes the flag that stops the program after its settings were checked.
pub fn check_only_flag() -> Arg {
    Arg::new(CHECK_FLAG)
        .long(CHECK_FLAG)
        .help("Checks the settings and stops")
        .action(ArgAction::SetTrue)
}

/// Returns whether the program stops after the check.
pub fn is_check_only(matches: &ArgMatches) -> bool {
    matches.get_flag(CHECK_FLAG)
}

/// Returns the value of a flag that is required or has a default.
///
/// # Panics
///
/// Panics if the flag has no value, which its declaration rules out.
pub fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("the flag is declared as required or has a default")
}

/// Returns the value of a flag, if it was given.
pub fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// Returns the values of a repeated flag.
pub fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).into_iter().flatten().cloned().collect()
}
