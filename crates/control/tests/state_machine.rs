//! Properties of the replicated state: claims, profiles, snapshots and decoding.

use std::collections::HashMap;

use consensus::Payload;
use control::claims::{Claim, ClaimKey, ClaimResult, ClaimTable, RecordedAnswer, Settle};
use control::configurations::ConfigurationChange;
use control::profiles::{Change, ChangeAction, ChangeResult, ProfileTable};
use control::state::{Command, State};
use proptest::prelude::*;
use serde::Serialize;

const DEADLINE_MS: u64 = 1_000;
const WINDOW_MS: u64 = 60_000;

fn key(number: u8) -> ClaimKey {
    ClaimKey { key: number.to_string(), service: "back".to_owned(), route: "buy".to_owned() }
}

fn claim(number: u8, holder: u64, at_unix_ms: u64) -> Claim {
    Claim {
        key: key(number),
        body_digest: vec![number],
        holder,
        deadline_ms: DEADLINE_MS,
        window_ms: WINDOW_MS,
        at_unix_ms,
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer { status: 200, headers: Vec::new(), body: b"done".to_vec(), is_truncated: false }
}

proptest! {
    /// For any sequence of claims and settlements, a key has at most one holder until that holder
    /// releases it, and is not granted again once it is finished.
    #[test]
    fn key_is_granted_to_one_holder_until_release(
        steps in prop::collection::vec((0u8..3, 0u64..4, 0u8..4, 0u64..2_000), 1..200),
    ) {
        let mut table = ClaimTable::default();
        let mut holders: HashMap<u8, u64> = HashMap::new();
        let mut finished: HashMap<u8, bool> = HashMap::new();
        // All steps are within the claim window, so that no claim expires.
        let mut at_unix_ms = 1_000_000;
        for (number, holder, action, pause_ms) in steps {
            at_unix_ms = (at_unix_ms + pause_ms).min(1_000_000 + WINDOW_MS - 1);
            match action {
                0 | 1 => {
                    let result = table.claim(claim(number, holder, at_unix_ms));
                    let current_holder = holders.get(&number).copied();
                    match result {
                        ClaimResult::Granted { .. } => {
                            prop_assert!(
                                current_holder.is_none() || current_holder == Some(holder)
                            );
                            prop_assert!(!finished.contains_key(&number));
                            holders.insert(number, holder);
                        }
                        ClaimResult::Finished(_) => prop_assert!(finished.contains_key(&number)),
                        _ => prop_assert!(current_holder.is_some()),
                    }
                }
                2 => {
                    let settle = Settle { key: key(number), holder, answer: None };
                    let is_settled = table.settle(settle);
                    if holders.get(&number) == Some(&holder) && !finished.contains_key(&number) {
                        prop_assert!(is_settled);
                        holders.remove(&number);
                    }
                }
                _ => {
                    let settle = Settle { key: key(number), holder, answer: Some(answer()) };
                    let is_settled = table.settle(settle);
                    if holders.get(&number) == Some(&holder) {
                        prop_assert!(is_settled);
                        finished.insert(number, true);
                    }
                }
            }
        }
    }

    #[test]
    fn arbitrary_bytes_decode_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = State::default().apply(&bytes);
        let _ = State::from_snapshot(&bytes);
    }

    /// Versions of a profile increase by 1 per applied change, and a change that is resent with the
    /// same id returns the first result.
    #[test]
    fn resent_change_returns_first_result(
        changes in prop::collection::vec((0u8..6, 0u64..5, any::<bool>()), 1..80),
    ) {
        let mut table = ProfileTable::default();
        let mut first_results: HashMap<String, (Change, ChangeResult)> = HashMap::new();
        let mut version = 0;
        for (id, base_version, is_retire) in changes {
            let action = match is_retire {
                true => ChangeAction::Retire,
                false => ChangeAction::Define(format!("text {id}")),
            };
            let change = Change {
                change_id: id.to_string(),
                name: "front".to_owned(),
                base_version,
                action,
                at_unix_ms: 1,
            };
            let result = table.apply(change.clone());
            match first_results.get(&change.change_id) {
                Some((first, first_result)) if *first == change =>
                    prop_assert_eq!(&result, first_result),
                Some(_) => prop_assert_eq!(&result, &ChangeResult::IdReused),
                None => {
                    if let ChangeResult::Applied { version: applied, .. } = result {
                        prop_assert_eq!(applied, version + 1);
                        prop_assert_eq!(base_version, version);
                        version = applied;
                    }
                    first_results.insert(change.change_id.clone(), (change, result));
                }
            }
            let current = table.current().next().map_or(0, |(_, current)| current.version);
            prop_assert_eq!(current, version);
        }
    }
}

#[test]
fn running_claim_past_deadline_is_unknown_to_other_holders() {
    let mut table = ClaimTable::default();
    assert_eq!(table.claim(claim(1, 7, 1_000)), ClaimResult::Granted { attempt: 1 });
    assert_eq!(table.claim(claim(1, 8, 1_500)), ClaimResult::Running);
    assert_eq!(table.claim(claim(1, 8, 2_500)), ClaimResult::Unknown);
    assert!(table.settle(Settle { key: key(1), holder: 7, answer: Some(answer()) }));
    assert_eq!(table.claim(claim(1, 8, 2_600)), ClaimResult::Finished(answer()));
}

#[test]
fn claim_past_window_is_removed() {
    let mut table = ClaimTable::default();
    table.claim(claim(1, 7, 1_000));
    table.claim(claim(2, 7, 1_000 + WINDOW_MS));
    assert_eq!(table.len(), 1);
}

#[test]
fn snapshot_round_trip_preserves_profiles_and_claims() {
    let mut state = State::default();
    let commands = [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 7, answer: Some(answer()) }),
        Command::Change(Change {
            change_id: "a".to_owned(),
            name: "front".to_owned(),
            base_version: 0,
            action: ChangeAction::Define("text".to_owned()),
            at_unix_ms: 1,
        }),
    ];
    for command in commands {
        let bytes = command.encode().expect("command can be encoded");
        state.apply(&bytes).expect("command can be applied");
    }
    let snapshot = state.to_snapshot().expect("state can be encoded");
    let restored = State::from_snapshot(&snapshot).expect("snapshot can be decoded");
    assert_eq!(restored.profiles(), state.profiles());
    assert_eq!(restored.claims(), state.claims());
}

/// Checks the result that holder 8 gets without a quorum if the log ends with these uncommitted
/// commands.
#[track_caller]
fn check_uncommitted(commands: &[Command], expected: Option<ClaimResult>) {
    let encoded: Vec<_> =
        commands.iter().map(|command| command.encode().expect("command can be encoded")).collect();
    let uncommitted = encoded.iter().map(Vec::as_slice);
    let found = State::default()
        .known_claim_result(uncommitted, &key(1), 8)
        .expect("commands can be decoded");
    assert_eq!(found, expected);
}

macro_rules! uncommitted {
    ($($name:ident: $commands:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_uncommitted(&$commands, $expected);
            }
        )*
    };
}

uncommitted! {
    uncommitted_claim_of_another_holder_is_unknown:
        [Command::Claim(claim(1, 7, 1_000))] => Some(ClaimResult::Unknown);
    uncommitted_claim_of_same_holder_is_ignored:
        [Command::Claim(claim(1, 8, 1_000))] => None;
    uncommitted_claim_of_another_key_is_ignored:
        [Command::Claim(claim(2, 7, 1_000))] => None;
    uncommitted_release_by_holder_cancels_uncommitted_claim: [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 7, answer: None }),
    ] => None;
    uncommitted_release_by_non_holder_is_ignored: [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 9, answer: None }),
    ] => Some(ClaimResult::Unknown);
    uncommitted_claim_with_answer_is_unknown: [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 7, answer: Some(answer()) }),
    ] => Some(ClaimResult::Unknown);
}

/// A change as older replicas encode it.
#[derive(Serialize)]
struct ListedChange {
    base_version: u64,
    version: u64,
    text: Vec<u8>,
}

/// Guards against an encoding of documents and commands that replicas of older versions, or the
/// files that they wrote, do not share.
#[test]
fn byte_strings_are_encoded_as_lists_of_bytes() {
    for length in [0, 1, 127, 128, 70_000] {
        let bytes: Vec<u8> = (0..=255).cycle().take(length).collect();
        let listed = ListedChange { base_version: 300, version: 301, text: bytes.clone() };
        let encoded = postcard::to_stdvec(&listed).expect("it can be encoded");
        let change: ConfigurationChange = postcard::from_bytes(&encoded).expect("it can be read");
        assert_eq!(*change.text, *bytes);
        assert_eq!(postcard::to_stdvec(&change).expect("it can be encoded"), encoded);
        let payload = postcard::to_stdvec(&Payload::Command(bytes.clone()));
        let variant_and_list = postcard::to_stdvec(&(1_u32, &bytes));
        assert_eq!(payload, variant_and_list);
        let decoded: Payload = postcard::from_bytes(&payload.unwrap()).expect("it can be read");
        assert_eq!(decoded, Payload::Command(bytes));
    }
}
