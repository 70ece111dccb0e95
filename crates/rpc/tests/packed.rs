//! Compression and decompression of configuration texts.

use rpc::{MAX_CONFIGURATION_TEXT_BYTES, PackedConfiguration, UnpackError};

#[track_caller]
fn assert_round_trip(text: &[u8]) {
    let packed = PackedConfiguration::pack(7, text).expect("the text can be compressed");
    assert_eq!(packed.version, 7);
    assert_eq!(packed.unpack().expect("the text can be decompressed"), text);
}

macro_rules! round_trip_cases {
    ($($name:ident: $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_round_trip($text);
            }
        )*
    };
}

round_trip_cases! {
    empty_text_round_trips: b"";
    repeated_routes_round_trip: "{\"host\":\"a.example\",\"kind\":\"safe\"}".repeat(500).as_bytes();
    incompressible_text_round_trips: &(0..=255).collect::<Vec<u8>>();
}

#[test]
fn repeated_routes_compress_to_less_than_an_eighth() {
    let text = "{\"host\":\"a.example\",\"kind\":\"safe\"}".repeat(500);
    let packed = PackedConfiguration::pack(1, text.as_bytes()).expect("the text can be compressed");
    assert!(packed.packed_text.len() < text.len() / 8);
}

#[test]
fn bytes_that_are_not_zlib_are_rejected() {
    let packed = PackedConfiguration { version: 1, packed_text: b"no stream".to_vec().into() };
    assert!(matches!(packed.unpack(), Err(UnpackError::Malformed(_))));
}

#[test]
fn text_above_size_limit_is_rejected() {
    let text = vec![b' '; MAX_CONFIGURATION_TEXT_BYTES as usize + 1];
    let packed = PackedConfiguration::pack(1, &text).expect("the text can be compressed");
    assert!(matches!(packed.unpack(), Err(UnpackError::TooLarge)));
}
