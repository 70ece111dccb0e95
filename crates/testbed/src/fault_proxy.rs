//! TCP proxies that inject one fixed fault each, built on the `noxious` library.

use std::io;
use std::net::SocketAddr;

use noxious::proxy::{ProxyConfig, ProxyRunner, Runner, Toxics};
use noxious::signal::{Close, Stop, Stopper};
use noxious::socket::TcpListener;
use noxious::toxic::{StreamDirection, Toxic, ToxicKind};
use tokio::runtime::Runtime;

const RANDOM_SEED: u64 = 1;

/// A proxy that injects a fault into the data from its target to its clients.
pub struct FaultProxy {
    runtime: Option<Runtime>,
    stopper: Option<Stopper>,
}

impl FaultProxy {
    /// Starts a proxy that closes each connection after a number of response bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn truncating_responses(
        listen: SocketAddr,
        target: SocketAddr,
        after_bytes: u64,
    ) -> io::Result<Self> {
        Self::start(listen, target, ToxicKind::LimitData { bytes: after_bytes })
    }

    fn start(listen: SocketAddr, target: SocketAddr, kind: ToxicKind) -> io::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let config = ProxyConfig {
            name: target.to_string(),
            listen: listen.to_string(),
            upstream: target.to_string(),
            enabled: true,
            rand_seed: Some(RANDOM_SEED),
        };
        let direction = StreamDirection::Downstream;
        let toxic = Toxic { kind, name: "fault".to_owned(), toxicity: 1.0, direction };
        let toxics = Toxics { upstream: Vec::new(), downstream: vec![toxic] };
        let (listener, info) =
            runtime.block_on(ProxyRunner::initialize_proxy::<TcpListener>(config, toxics))?;
        let (stop, stopper) = Stop::new();
        runtime.spawn(async move {
            let (_close, closer) = Close::new();
            // Keeps the sender alive, because the proxy stops when its channel is closed.
            let (_events, receiver) = bmrng::channel(1);
            // If the proxy fails, its clients' connections are refused, which fails the test.
            let _ = ProxyRunner::run_proxy(listener, info, receiver, stop, closer).await;
        });
        Ok(Self { runtime: Some(runtime), stopper: Some(stopper) })
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        if let Some(stopper) = self.stopper.take() {
            stopper.stop();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
