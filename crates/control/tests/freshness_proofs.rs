//! A proof holds only stamps that were received before its read began.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use control::freshness_proofs::{StampRegistry, StreamStamps, prove_new_stamps};
use rpc::{FreshnessProof, NodeReport};
use slog::{Discard, Logger, o};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Failure of a read.
#[derive(Debug)]
struct Unconfirmed;

impl fmt::Display for Unconfirmed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("unconfirmed")
    }
}

/// Time in which a proof that is due arrives.
const DUE: Duration = Duration::from_millis(100);

fn report(stamp_us: u64) -> NodeReport {
    NodeReport { created_boot_us: stamp_us, wants_freshness_proof: true, ..NodeReport::default() }
}

fn proof(stamp_us: u64, version: u64) -> FreshnessProof {
    FreshnessProof { report_created_boot_us: stamp_us, configuration_version: version }
}

async fn due_proof(stream: &mut StreamStamps) -> Option<FreshnessProof> {
    timeout(DUE, stream.next_proof()).await.ok()
}

/// Guards against a proof with a stamp that arrived while the read was running: a configuration may
/// have been acknowledged between the read and the stamp.
#[tokio::test]
async fn stamp_that_arrives_during_the_read_is_not_proven_by_it() {
    let registry = StampRegistry::new();
    let mut stream = registry.register();
    stream.record(&report(10));
    let (finish, finished) = oneshot::channel();
    let (begin, begun) = oneshot::channel();
    let noted = registry.note();
    let proving = tokio::spawn(noted.prove_by(|| async move {
        let _ = begin.send(());
        finished.await
    }));
    begun.await.expect("the read begins");
    stream.record(&report(20));
    finish.send(7).expect("the read waits");
    assert_eq!(proving.await.expect("no panic").expect("the read succeeds"), 7);
    assert_eq!(due_proof(&mut stream).await, Some(proof(10, 7)));
    assert!(!registry.note().is_empty(), "the later stamp is still unproven");
}

/// Guards against a proof without a quorum, such as of a leader that is cut off.
#[tokio::test]
async fn failed_read_proves_nothing() {
    let registry = StampRegistry::new();
    let mut stream = registry.register();
    stream.record(&report(10));
    let read = || std::future::ready(Err::<u64, _>(Unconfirmed));
    assert!(registry.note().prove_by(read).await.is_err());
    assert_eq!(due_proof(&mut stream).await, None);
    assert!(!registry.note().is_empty(), "the stamp stays unproven");
}

/// Guards against proofs for a node that a later stream of another process would receive.
#[tokio::test]
async fn proof_is_not_sent_to_a_later_stream_of_the_node() {
    let registry = StampRegistry::new();
    let old = registry.register();
    old.record(&report(10));
    let noted = registry.note();
    drop(old);
    let mut new = registry.register();
    let read = || std::future::ready(Ok::<u64, Unconfirmed>(1));
    noted.prove_by(read).await.expect("the read succeeds");
    assert_eq!(due_proof(&mut new).await, None);
}

/// Runs the loop with reads that take `read_time` and fail `failures` times first. Returns the
/// number of reads.
async fn with_loop<F: Future>(
    registry: &StampRegistry,
    failures: u64,
    read_time: Duration,
    scenario: impl FnOnce(Rc<Cell<u64>>) -> F,
) -> F::Output {
    let reads = Rc::new(Cell::new(0));
    let (counted, registry) = (Rc::clone(&reads), registry.clone());
    LocalSet::new()
        .run_until(async move {
            let log = Logger::root(Discard, o!());
            let read_version = move || {
                counted.set(counted.get() + 1);
                let count = counted.get();
                async move {
                    sleep(read_time).await;
                    if count <= failures { Err(Unconfirmed) } else { Ok(count) }
                }
            };
            let proving = spawn_local(prove_new_stamps(log, registry, read_version));
            let output = scenario(reads).await;
            proving.abort();
            output
        })
        .await
}

/// Guards against reads whose number grows with the number of nodes.
#[tokio::test]
async fn number_of_reads_does_not_depend_on_the_number_of_nodes() {
    const NODES: u64 = 300;
    let registry = StampRegistry::new();
    let mut streams: Vec<StreamStamps> = (0..NODES).map(|_| registry.register()).collect();
    let read_time = Duration::from_millis(10);
    with_loop(&registry, 0, read_time, |reads| async move {
        let started = Instant::now();
        for second in 1..=3 {
            for (index, stream) in streams.iter().enumerate() {
                stream.record(&report(second * 1_000 + index as u64));
                sleep(Duration::from_millis(2)).await;
            }
        }
        let intervals = started.elapsed().as_millis() as u64 / 250;
        assert!(reads.get() <= intervals + 2, "{} reads in {intervals} intervals", reads.get());
        sleep(Duration::from_millis(500)).await;
        for (index, stream) in streams.iter_mut().enumerate() {
            let stamp_us = stream.next_proof().await.report_created_boot_us;
            assert_eq!(stamp_us, 3_000 + index as u64);
        }
    })
    .await;
}

/// Guards against log entries on the leader while no node asks.
#[tokio::test]
async fn nothing_is_read_while_no_node_asks() {
    let registry = StampRegistry::new();
    let stream = registry.register();
    with_loop(&registry, 0, Duration::ZERO, |reads| async move {
        stream.record(&NodeReport { created_boot_us: 5, ..NodeReport::default() });
        sleep(Duration::from_millis(600)).await;
        assert_eq!(reads.get(), 0);
        stream.record(&report(10));
        sleep(Duration::from_millis(600)).await;
        assert_eq!(reads.get(), 1, "one stamp needs one proof");
        drop(stream);
        sleep(Duration::from_millis(600)).await;
        assert_eq!(reads.get(), 1);
    })
    .await;
}

/// Guards against a stamp that is never proven because the first read failed, and against a first
/// proof that waits for the next report.
#[tokio::test]
async fn failed_reads_are_repeated_with_the_newest_stamp() {
    let registry = StampRegistry::new();
    let mut stream = registry.register();
    with_loop(&registry, 2, Duration::from_millis(10), |_| async move {
        stream.record(&report(10));
        sleep(Duration::from_millis(300)).await;
        stream.record(&report(20));
        let expected = Ok(proof(20, 3));
        assert_eq!(timeout(Duration::from_secs(1), stream.next_proof()).await, expected);
    })
    .await;
}

/// Guards against a proof that waits for a periodic update after the read.
#[tokio::test]
async fn proof_is_ready_as_soon_as_the_read_ends() {
    let registry = StampRegistry::new();
    let mut stream = registry.register();
    with_loop(&registry, 0, Duration::from_millis(20), |_| async move {
        sleep(Duration::from_millis(300)).await;
        let started = Instant::now();
        stream.record(&report(10));
        stream.next_proof().await;
        assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
    })
    .await;
}
