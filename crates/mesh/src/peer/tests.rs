//! Nodes of different versions read each other's reported load: an older node sends fewer fields,
//! a newer one more.

use http::{HeaderMap, HeaderValue};
use policy::placement::PlacementLoad;
use policy::vm_rates::VmRates;

use super::{LOAD, decode_load, encode_load};
use crate::ingress::NodeLoad;

const PLACEMENT: PlacementLoad = PlacementLoad { in_flight: 3, queued: 1, limit: 19 };
const RATES: VmRates = VmRates {
    arrivals_per_s: 210,
    completions_per_s: 205,
    service_us: 40_000,
    no_completion_ms: 7,
};

fn decode(text: &str) -> Option<NodeLoad> {
    let mut headers = HeaderMap::new();
    headers.insert(LOAD, HeaderValue::try_from(text).expect("the value is valid"));
    decode_load(&headers)
}

macro_rules! loads_of_other_versions {
    ($($name:ident: $text:literal => $rates:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let load = decode($text).expect("the first five fields are present");
                let expected = NodeLoad {
                    placement: PLACEMENT,
                    rates: $rates,
                    is_leaving: false,
                    overload_permille: 12,
                };
                assert_eq!(load, expected);
            }
        )*
    };
}

loads_of_other_versions! {
    load_of_an_older_node_has_unknown_rates: "3 1 19 0 12" => None;
    load_with_part_of_the_rates_has_unknown_rates: "3 1 19 0 12 210 205" => None;
    load_with_malformed_rates_has_unknown_rates: "3 1 19 0 12 210 205 fast 7" => None;
    load_with_all_rates_is_read: "3 1 19 0 12 210 205 40000 7" => Some(RATES);
    further_fields_of_a_newer_node_are_ignored: "3 1 19 0 12 210 205 40000 7 1 x" => Some(RATES);
}

#[test]
fn load_without_a_field_that_all_versions_send_is_rejected() {
    assert_eq!(decode("3 1 19 0"), None);
}

#[test]
fn encoded_load_is_decoded() {
    let load = NodeLoad {
        placement: PLACEMENT,
        rates: Some(RATES),
        is_leaving: true,
        overload_permille: 40,
    };
    let mut headers = HeaderMap::new();
    headers.insert(LOAD, encode_load(load));
    assert_eq!(decode_load(&headers), Some(load));
}

/// Guards against rates in the answers of a node that does not balance by them.
#[test]
fn load_without_rates_has_the_fields_of_an_older_node() {
    let load =
        NodeLoad { placement: PLACEMENT, rates: None, is_leaving: false, overload_permille: 12 };
    assert_eq!(encode_load(load), "3 1 19 0 12");
}
