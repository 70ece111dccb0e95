//! Messages of another protocol version or another cluster are refused with a specific gRPC status.

use rpc::directory_client::DirectoryClient;
use rpc::peer_client::PeerClient;
use rpc::replica_client::ReplicaClient;
use rpc::{CallHead, ForwardFrame, IdentifyRequest, JoinRequest, NodeReport, ReplicaMessage};
use testbed::cluster::Cluster;
use testbed::deployment::Deployment;
use tokio::runtime::Runtime;
use tonic::Code;
use tonic::transport::Channel;

const OTHER_VERSION: u32 = 99;

fn start_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn channel(address: std::net::SocketAddr) -> Channel {
    Channel::from_shared(format!("http://{address}")).expect("an address").connect_lazy()
}

#[test]
fn messages_of_other_versions_and_clusters_are_refused() {
    let cluster = Cluster::start(Deployment::pair()).expect("the cluster starts");
    let control = cluster.controls[0].address;
    let peer = cluster.instances[0].peer;
    start_runtime().block_on(async {
        let report = |protocol_version, cluster_id: &str| NodeReport {
            protocol_version,
            cluster_id: cluster_id.to_owned(),
            ..NodeReport::default()
        };
        let mut directory = DirectoryClient::new(channel(control));
        let other_version = tokio_stream::once(report(OTHER_VERSION, "heatherweir"));
        let refused = directory.attach(other_version).await.expect_err("refused");
        assert_eq!(refused.code(), Code::FailedPrecondition);
        let other_cluster = tokio_stream::once(report(rpc::PROTOCOL_VERSION, "elsewhere"));
        let refused = directory.attach(other_cluster).await.expect_err("refused");
        assert_eq!(refused.code(), Code::PermissionDenied);

        let head = CallHead { protocol_version: OTHER_VERSION, ..CallHead::default() };
        let call = ForwardFrame { head: Some(head), ..ForwardFrame::default() };
        let mut node = PeerClient::new(channel(peer));
        let refused = node.forward(tokio_stream::once(call)).await.expect_err("refused");
        assert_eq!(refused.code(), Code::FailedPrecondition);

        let mut replica = ReplicaClient::new(channel(control));
        let cluster_id = "elsewhere".to_owned();
        let request = IdentifyRequest { cluster_id: cluster_id.clone() };
        let refused = replica.identify(request).await.expect_err("refused");
        assert_eq!(refused.code(), Code::PermissionDenied);
        let request = JoinRequest { cluster_id: cluster_id.clone(), ..JoinRequest::default() };
        let refused = replica.join(request).await.expect_err("refused");
        assert_eq!(refused.code(), Code::PermissionDenied);
        let message = ReplicaMessage { cluster_id, ..ReplicaMessage::default() };
        let refused = replica.deliver(tokio_stream::once(message)).await.expect_err("refused");
        assert_eq!(refused.code(), Code::PermissionDenied);
        let unknown_replica = ReplicaMessage {
            cluster_id: "heatherweir".to_owned(),
            to: 1,
            ..ReplicaMessage::default()
        };
        let refused =
            replica.deliver(tokio_stream::once(unknown_replica)).await.expect_err("refused");
        assert_eq!(refused.code(), Code::NotFound);
    });
    assert!(cluster.leader().is_some(), "the cluster still has a leader");
}
