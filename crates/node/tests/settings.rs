//! Settings from the command line.

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

/// Appends a flag and expects an error that names it.
fn check(flag: &str) {
    let arguments = VALID.iter().filter(|known| known.split('=').next() != flag.split('=').next());
    let parsed = command().try_get_matches_from(arguments.copied().chain([flag]));
    let error = parsed.expect_err("the flag is refused").to_string();
    let name = flag.split('=').next().expect("a name");
    assert!(error.contains(name), "{error}");
}

macro_rules! refused_flags {
    ($($name:ident: $flag:literal;)*) => {
        $(#[test]
        fn $name() {
            check($flag);
        })*
    };
}

refused_flags! {
    name_with_capitals: "--vm=Vitrina";
    host_name_instead_of_ip: "--control=control-1:7000";
    port_missing: "--peer-listen=127.0.0.1";
    no_threads: "--traffic-threads=0";
    unknown_flag: "--peers=127.0.0.1:1";
}

#[test]
fn valid_settings_are_read() {
    let matches = command().try_get_matches_from(VALID).expect("the flags are valid");
    let settings = Settings::new(&matches).expect("the settings fit together");
    assert_eq!(settings.controls.len(), 2);
    assert_eq!(settings.peer_advertise, settings.peer_listen);
}

#[test]
fn egress_open_to_other_vms_is_refused() {
    let open = VALID.iter().map(|flag| match *flag {
        "--egress-listen=127.0.0.1:2" => "--egress-listen=0.0.0.0:2",
        flag => flag,
    });
    let matches = command().try_get_matches_from(open).expect("the flags are well-formed");
    assert_matches!(Settings::new(&matches), Err(SettingsError::EgressAddress(_)));
}
