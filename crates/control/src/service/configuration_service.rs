//! gRPC service for calls that [`ConfigurationStore`] forwards to the leader.

use rpc::configurations_server::Configurations;
use rpc::{
    ConfigurationRecord, PutConfigurationReply, PutConfigurationRequest, PutOutcome,
    ReadConfigurationReply, ReadConfigurationRequest,
};
use tonic::{Request, Response, Status};

use crate::configuration_store::{ConfigurationStore, PutAnswer};
use crate::configurations::ConfigurationChange;

pub(super) struct ConfigurationService {
    store: ConfigurationStore,
}

impl ConfigurationService {
    pub(super) fn new(store: ConfigurationStore) -> Self {
        Self { store }
    }
}

#[tonic::async_trait]
impl Configurations for ConfigurationService {
    async fn put(
        &self,
        request: Request<PutConfigurationRequest>,
    ) -> Result<Response<PutConfigurationReply>, Status> {
        let request = request.into_inner();
        let change = ConfigurationChange {
            base_version: request.base_version,
            version: request.version,
            text: request.text.as_ref().into(),
        };
        let (outcome, version) = match self.store.propose_put(change).await {
            Ok(PutAnswer::Accepted { current_version }) => (PutOutcome::Accepted, current_version),
            Ok(PutAnswer::Conflict { current_version }) => (PutOutcome::Conflict, current_version),
            Err(_) => (PutOutcome::NoQuorum, 0),
        };
        Ok(Response::new(PutConfigurationReply { outcome: outcome.into(), version }))
    }

    async fn read(
        &self,
        request: Request<ReadConfigurationRequest>,
    ) -> Result<Response<ReadConfigurationReply>, Status> {
        let is_version_only = request.into_inner().is_version_only;
        let reply = match self.store.propose_read().await {
            Ok(table) => ReadConfigurationReply {
                is_confirmed: true,
                version: table.version(),
                configuration: table.current().filter(|_| !is_version_only).map(|current| {
                    ConfigurationRecord {
                        version: current.version,
                        text: bytes::Bytes::copy_from_slice(&current.text),
                    }
                }),
            },
            Err(_) => ReadConfigurationReply::default(),
        };
        Ok(Response::new(reply))
    }
}
