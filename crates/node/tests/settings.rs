//! Parsing and validation of the command line.

use assert_matches::assert_matches;
use node::{Settings, SettingsError, command};

const VALID: &[&str] = &[
    "heatherweir-node",
    "--vm=vitrina-1",
    "--data-centre=kifisia",
    "--caller-listen=127.0.0.1:1",
    "--egress-listen=127.0.0.1:2",
    "--peer-listen=127.0.0.1:3",
    "--admin-listen=127.0.0.1:4",
    "--control=127.0.0.1:5,127.0.0.1:6",
];

/// Replaces or adds a flag and asserts that the error names it.
fn assert_refused(flag: &str) {
    let arguments =
        VALID.iter().filter(|argument| argument.split('=').next() != flag.split('=').next());
    let parsed = command().try_get_matches_from(arguments.copied().chain([flag]));
    let error = parsed.expect_err("the flag is refused").to_string();
    let name = flag.split('=').next().expect("a name");
    assert!(error.contains(name), "{error}");
}

macro_rules! refused_flags {
    ($($name:ident: $flag:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_refused($flag);
        })*
    };
}

refused_flags! {
    vm_name_with_capitals_is_refused: "--vm=Vitrina";
    host_name_as_control_address_is_refused: "--control=control-1:7000";
    peer_address_without_port_is_refused: "--peer-listen=127.0.0.1";
    zero_traffic_threads_are_refused: "--traffic-threads=0";
    unknown_flag_is_refused: "--peers=127.0.0.1:1";
}

#[test]
fn valid_flags_are_accepted() {
    let matches = command().try_get_matches_from(VALID).expect("the flags are valid");
    let settings = Settings::new(&matches).expect("the settings are valid");
    assert_eq!(settings.control_addresses.len(), 2);
    assert_eq!(settings.peer_advertise, settings.peer_listen);
}

#[test]
fn egress_address_outside_loopback_is_refused() {
    let arguments = VALID.iter().map(|flag| match *flag {
        "--egress-listen=127.0.0.1:2" => "--egress-listen=0.0.0.0:2",
        flag => flag,
    });
    let matches = command().try_get_matches_from(arguments).expect("the flags are well-formed");
    assert_matches!(Settings::new(&matches), Err(SettingsError::EgressAddress(_)));
}
