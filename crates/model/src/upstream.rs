//! VMs and the announcements of the upstreams that run on them.

use std::net::SocketAddr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{DataCentreName, ProfileName, ServiceName, VmName};

const MAX_SLOTS: u32 = 100_000;
const MAX_CONNECTIONS: u32 = 1_000_000;

quick_error! {
    /// Invalid value in an announcement.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AnnouncementError {
        /// The number of slots is out of range.
        Slots(slots: u32) {
            display("slots must be 1 to {}, not {}", MAX_SLOTS, slots)
        }
        /// The number of connections is out of range.
        Connections(connections: u32) {
            display("connections must be 1 to {}, not {}", MAX_CONNECTIONS, connections)
        }
        /// The address is not a loopback address. An upstream runs on the VM of its node.
        Address(address: SocketAddr) {
            display("an upstream announces an address of its own VM, not {}", address)
        }
    }
}

/// A VM and its data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name, unique within the deployment.
    pub name: VmName,
    /// Data centre in which the VM runs.
    pub data_centre: DataCentreName,
}

/// Announcement that an upstream sends to the node on its VM and repeats as a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the upstream provides.
    pub service: ServiceName,
    /// Overload profile that applies to calls to the upstream.
    pub profile: ProfileName,
    /// Loopback address on which the upstream accepts calls.
    pub address: SocketAddr,
    /// Maximum number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the upstream accepts concurrently.
    pub connections: u32,
    /// Identifies the upstream process; a restarted upstream announces another value.
    pub incarnation: u64,
    /// Services that the upstream calls.
    #[serde(default)]
    pub calls: Vec<ServiceName>,
    /// Whether the upstream is shutting down and accepts no new calls.
    #[serde(default)]
    pub is_leaving: bool,
}

impl Announcement {
    /// Validates the values that their types do not restrict: slots, connections and address.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid value.
    pub fn validate(&self) -> Result<(), AnnouncementError> {
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(AnnouncementError::Slots(self.slots));
        }
        if self.connections == 0 || self.connections > MAX_CONNECTIONS {
            return Err(AnnouncementError::Connections(self.connections));
        }
        if !self.address.ip().is_loopback() {
            return Err(AnnouncementError::Address(self.address));
        }
        Ok(())
    }
}
