//! Packed documents.

use rpc::{MAX_TEXT_BYTES, PackedConfiguration, UnpackError};

#[track_caller]
fn check(text: &[u8]) {
    let packed = PackedConfiguration::pack(7, text).expect("it can be packed");
    assert_eq!(packed.version, 7);
    assert_eq!(packed.unpack().expect("it can be unpacked"), text);
}

macro_rules! texts {
    ($($name:ident: $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check($text);
            }
        )*
    };
}

texts! {
    empty_text_comes_back: b"";
    routes_come_back: "{\"host\":\"a.example\",\"kind\":\"safe\"}".repeat(500).as_bytes();
    text_that_does_not_shrink_comes_back: &(0..=255).collect::<Vec<u8>>();
}

#[test]
fn repeated_routes_shrink() {
    let text = "{\"host\":\"a.example\",\"kind\":\"safe\"}".repeat(500);
    let packed = PackedConfiguration::pack(1, text.as_bytes()).expect("it can be packed");
    assert!(packed.packed_text.len() < text.len() / 8);
}

#[test]
fn other_bytes_are_refused() {
    let packed = PackedConfiguration { version: 1, packed_text: b"no stream".to_vec().into() };
    assert!(matches!(packed.unpack(), Err(UnpackError::Malformed(_))));
}

#[test]
fn text_beyond_the_limit_is_refused() {
    let text = vec![b' '; MAX_TEXT_BYTES as usize + 1];
    let packed = PackedConfiguration::pack(1, &text).expect("it can be packed");
    assert!(matches!(packed.unpack(), Err(UnpackError::TooLarge)));
}
