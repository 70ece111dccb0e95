//! The claim ledger and the profile table as state machines, and every decoder of stored bytes.

use std::collections::HashMap;

use control::claims::{Claim, ClaimKey, ClaimLedger, ClaimResult, KeptAnswer, Settle};
use control::profiles::{Change, ChangeAction, ChangeResult, ProfileTable};
use control::state::{Command, State};
use proptest::prelude::*;

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

fn answer() -> KeptAnswer {
    KeptAnswer { status: 200, headers: Vec::new(), body: b"done".to_vec(), is_truncated: false }
}

proptest! {
    /// Whoever asks in whatever order, a key has one holder until that holder releases it.
    #[test]
    fn a_claim_has_one_holder(
        steps in prop::collection::vec((0u8..3, 0u64..4, 0u8..4, 0u64..2_000), 1..200),
    ) {
        let mut ledger = ClaimLedger::default();
        let mut holders: HashMap<u8, u64> = HashMap::new();
        let mut finished: HashMap<u8, bool> = HashMap::new();
        // All steps lie within the window, in which nothing is forgotten.
        let mut at_unix_ms = 1_000_000;
        for (number, holder, action, pause_ms) in steps {
            at_unix_ms = (at_unix_ms + pause_ms).min(1_000_000 + WINDOW_MS - 1);
            match action {
                0 | 1 => {
                    let result = ledger.claim(claim(number, holder, at_unix_ms));
                    let owner = holders.get(&number).copied();
                    match result {
                        ClaimResult::Granted { .. } => {
                            prop_assert!(owner.is_none() || owner == Some(holder));
                            prop_assert!(!finished.contains_key(&number));
                            holders.insert(number, holder);
                        }
                        ClaimResult::Finished(_) => prop_assert!(finished.contains_key(&number)),
                        _ => prop_assert!(owner.is_some()),
                    }
                }
                2 => {
                    let settle = Settle { key: key(number), holder, answer: None };
                    let is_held = ledger.settle(settle);
                    if holders.get(&number) == Some(&holder) && !finished.contains_key(&number) {
                        prop_assert!(is_held);
                        holders.remove(&number);
                    }
                }
                _ => {
                    let settle = Settle { key: key(number), holder, answer: Some(answer()) };
                    let is_held = ledger.settle(settle);
                    if holders.get(&number) == Some(&holder) {
                        prop_assert!(is_held);
                        finished.insert(number, true);
                    }
                }
            }
        }
    }

    #[test]
    fn any_bytes_are_a_command_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = State::default().apply(&bytes);
        let _ = State::from_snapshot(&bytes);
    }

    /// Versions of a profile rise by one, and every id has one answer.
    #[test]
    fn changes_apply_once(
        changes in prop::collection::vec((0u8..6, 0u64..5, any::<bool>()), 1..80),
    ) {
        let mut table = ProfileTable::default();
        let mut first_answers: HashMap<String, (Change, ChangeResult)> = HashMap::new();
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
            match first_answers.get(&change.change_id) {
                Some((first, answer)) if *first == change => prop_assert_eq!(&result, answer),
                Some(_) => prop_assert_eq!(&result, &ChangeResult::IdReused),
                None => {
                    if let ChangeResult::Applied { version: applied, .. } = result {
                        prop_assert_eq!(applied, version + 1);
                        prop_assert_eq!(base_version, version);
                        version = applied;
                    }
                    first_answers.insert(change.change_id.clone(), (change, result));
                }
            }
            let current = table.current().next().map_or(0, |(_, current)| current.version);
            prop_assert_eq!(current, version);
        }
    }
}

#[test]
fn running_claim_is_unknown_after_its_deadline_and_never_granted_again() {
    let mut ledger = ClaimLedger::default();
    assert_eq!(ledger.claim(claim(1, 7, 1_000)), ClaimResult::Granted { attempt: 1 });
    assert_eq!(ledger.claim(claim(1, 8, 1_500)), ClaimResult::Running);
    assert_eq!(ledger.claim(claim(1, 8, 2_500)), ClaimResult::Unknown);
    assert!(ledger.settle(Settle { key: key(1), holder: 7, answer: Some(answer()) }));
    assert_eq!(ledger.claim(claim(1, 8, 2_600)), ClaimResult::Finished(answer()));
}

#[test]
fn ledger_forgets_after_the_window() {
    let mut ledger = ClaimLedger::default();
    ledger.claim(claim(1, 7, 1_000));
    ledger.claim(claim(2, 7, 1_000 + WINDOW_MS));
    assert_eq!(ledger.len(), 1);
}

#[test]
fn snapshot_keeps_profiles_and_claims() {
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
        let bytes = command.encode().expect("it can be encoded");
        state.apply(&bytes).expect("it can be applied");
    }
    let snapshot = state.to_snapshot().expect("it can be encoded");
    let restored = State::from_snapshot(&snapshot).expect("it can be read");
    assert_eq!(restored.profiles(), state.profiles());
    assert_eq!(restored.claims(), state.claims());
}

/// Looks a claim of holder 8 up while these commands follow the applied ones.
#[track_caller]
fn check_uncommitted(commands: &[Command], expected: Option<ClaimResult>) {
    let encoded: Vec<_> =
        commands.iter().map(|command| command.encode().expect("it can be encoded")).collect();
    let uncommitted = encoded.iter().map(Vec::as_slice);
    let found = State::default().look_up(uncommitted, &key(1), 8).expect("it can be read");
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
    uncommitted_claim_of_the_same_holder_is_no_earlier_work:
        [Command::Claim(claim(1, 8, 1_000))] => None;
    uncommitted_claim_of_another_key_says_nothing:
        [Command::Claim(claim(2, 7, 1_000))] => None;
    uncommitted_release_ends_the_claim: [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 7, answer: None }),
    ] => None;
    uncommitted_release_by_a_stranger_ends_nothing: [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 9, answer: None }),
    ] => Some(ClaimResult::Unknown);
    uncommitted_answer_keeps_the_claim: [
        Command::Claim(claim(1, 7, 1_000)),
        Command::Settle(Settle { key: key(1), holder: 7, answer: Some(answer()) }),
    ] => Some(ClaimResult::Unknown);
}
