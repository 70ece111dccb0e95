//! Newest configuration in the form that nodes receive: rewritten and compressed.
//!
//! Both steps take longer than the heartbeat interval of replicas for a large document, so they run
//! on a thread of their own and not on the one that sends the messages of the replica.

use quick_error::quick_error;
use rpc::PackedConfiguration;
use slog::{error, info};
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio::time::Instant;

use crate::configurations::ConfigurationVersion;
use crate::distribution::{DocumentRewriter, RewriteError};
use crate::service::ServiceContext;

quick_error! {
    /// Failure to prepare a configuration for nodes.
    #[derive(Debug)]
    enum PackError {
        /// The document could not be rewritten.
        Rewrite(source: RewriteError) {
            display("{}", source)
            from()
        }
        /// The document could not be compressed.
        Compress(source: std::io::Error) {
            display("{}", source)
            from()
        }
        /// The thread that prepared the document panicked.
        Panicked(source: JoinError) {
            display("the preparation of the document did not end")
            from()
        }
    }
}

/// Newest configuration as nodes receive it. Clones share it.
#[derive(Clone)]
pub(crate) struct PackedConfigurations {
    /// `None` before the first configuration, and if the newest one could not be prepared: nodes must
    /// not receive an older one instead.
    newest: watch::Sender<Option<PackedConfiguration>>,
}

impl Default for PackedConfigurations {
    fn default() -> Self {
        Self { newest: watch::channel(None).0 }
    }
}

impl PackedConfigurations {
    /// Returns a receiver that is notified of new configurations.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<PackedConfiguration>> {
        self.newest.subscribe()
    }

    /// Returns the newest configuration if its version is greater than `version`.
    pub(crate) fn newer_than(&self, version: u64) -> Option<PackedConfiguration> {
        self.newest.borrow().as_ref().filter(|packed| packed.version > version).cloned()
    }
}

/// Prepares each new configuration for nodes, until the process stops.
pub(crate) async fn pack_configurations(context: ServiceContext) {
    let mut versions = context.replica.configuration_version();
    let mut stop = context.stop.clone();
    loop {
        versions.mark_unchanged();
        let current = context.replica.view().configurations.current().cloned();
        if let Some(current) = current {
            let packed = pack_and_log(&context, current).await;
            context.packed_configurations.newest.send_replace(packed);
        }
        tokio::select! {
            changed = versions.changed() => if changed.is_err() { return },
            _ = stop.changed() => return,
        }
    }
}

async fn pack_and_log(
    context: &ServiceContext,
    current: ConfigurationVersion,
) -> Option<PackedConfiguration> {
    let (version, text_bytes) = (current.version, current.text.len());
    let started = Instant::now();
    match pack(context.rewrite_document, current).await {
        Ok(packed) => {
            info!(context.log, "configuration-packed"; "version" => version,
                "text_bytes" => text_bytes, "packed_bytes" => packed.packed_text.len(),
                "elapsed_ms" => started.elapsed().as_millis() as u64);
            Some(packed)
        }
        Err(error) => {
            error!(context.log, "configuration-packing-failed"; "version" => version,
                "error" => %error);
            None
        }
    }
}

async fn pack(
    rewrite_document: DocumentRewriter,
    current: ConfigurationVersion,
) -> Result<PackedConfiguration, PackError> {
    let pack = move || {
        let text = rewrite_document(&current.text)?;
        Ok(PackedConfiguration::pack(current.version, &text)?)
    };
    tokio::task::spawn_blocking(pack).await?
}
