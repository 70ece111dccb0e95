//! The active version never decreases, whoever applies what at the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use indexmap::IndexSet;
use model::{CallerLimits, Configuration};
use slog::{Discard, Logger, o};

use super::ConfigurationHolder;

const THREADS: u64 = 4;
const VERSIONS: u64 = 20_000;

#[test]
fn active_version_never_decreases_while_threads_apply_others() {
    let holder = Arc::new(ConfigurationHolder::new(Logger::root(Discard, o!())));
    let next_version = Arc::new(AtomicU64::new(1));
    let is_done = Arc::new(AtomicBool::new(false));
    let reader = thread::spawn({
        let (holder, is_done) = (Arc::clone(&holder), Arc::clone(&is_done));
        move || {
            let mut last_version = 0;
            while !is_done.load(Ordering::Relaxed) {
                let version = holder.load().map_or(0, |active| active.configuration.version());
                assert!(version >= last_version, "{version} after {last_version}");
                last_version = version;
            }
        }
    });
    let writers = (0..THREADS).map(|_| {
        let (holder, next_version) = (Arc::clone(&holder), Arc::clone(&next_version));
        thread::spawn(move || {
            loop {
                let version = next_version.fetch_add(1, Ordering::Relaxed);
                if version > VERSIONS {
                    return;
                }
                let configuration = Configuration::new(
                    version,
                    IndexSet::new(),
                    Vec::new(),
                    CallerLimits::default(),
                );
                holder.apply(configuration.expect("the configuration is valid"));
            }
        })
    });
    for writer in writers.collect::<Vec<_>>() {
        writer.join().expect("the writer does not panic");
    }
    is_done.store(true, Ordering::Relaxed);
    reader.join().expect("the reader sees no older version");
    assert_eq!(holder.version(), VERSIONS);
}
