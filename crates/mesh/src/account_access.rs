//! Decides who sent a request, and for which client account.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use model::{ClientAccount, Configuration, HostRoute, KeyDigest, Reason, RouteAccess};
use policy::slots::CallPriority;

use crate::failure::CallFailure;
use crate::protocol_adapter::AccountKey;
use crate::running_requests::ParentRequest;

/// Sender of a request on the caller listener.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RequestOrigin {
    /// The local upstream, for a request that it is running.
    Upstream(ParentRequest),
    /// A caller that sent the key of a client account.
    Account {
        /// Digest of the key.
        key: KeyDigest,
        /// Account that had the key when the request head arrived.
        account: Arc<ClientAccount>,
    },
    /// A caller that needs no key.
    Anonymous,
}

/// What the id of a request says about the request that it was made for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ParentLookup {
    /// The id contains no parent id.
    Absent,
    /// The id contains the id of a request that is not running at this node.
    Unknown,
    /// The parent request is running at this node.
    Running(ParentRequest),
}

impl RequestOrigin {
    /// Determines the sender of a request on a route.
    ///
    /// A request that has a key was sent by a caller, whatever its id: upstreams never see a key.
    ///
    /// # Errors
    ///
    /// Returns a failure if the request needs a key and has no known one.
    pub(crate) fn new(
        configuration: &Configuration,
        route: &HostRoute,
        parent: ParentLookup,
        read_key: impl FnOnce() -> AccountKey,
    ) -> Result<Self, CallFailure> {
        if !configuration.has_client_accounts() || route.access == RouteAccess::Public {
            return Ok(match parent {
                ParentLookup::Running(parent) => Self::Upstream(parent),
                ParentLookup::Absent | ParentLookup::Unknown => Self::Anonymous,
            });
        }
        match (read_key(), parent) {
            (AccountKey::Digest(key), _) => {
                let account = account_with_key(configuration, &key)?;
                Ok(Self::Account { key, account: Arc::clone(account) })
            }
            (AccountKey::Absent, ParentLookup::Running(parent)) => Ok(Self::Upstream(parent)),
            (AccountKey::Absent, ParentLookup::Unknown) => {
                Err(CallFailure::not_run(Reason::UnknownParent))
            }
            (AccountKey::Absent, ParentLookup::Absent) | (AccountKey::Invalid, _) => {
                Err(CallFailure::not_run(Reason::UnknownAccount))
            }
        }
    }

    /// Returns the digest of the key with which a caller sent the request.
    pub(crate) fn key(&self) -> Option<KeyDigest> {
        match self {
            Self::Account { key, .. } => Some(*key),
            Self::Upstream(_) | Self::Anonymous => None,
        }
    }

    /// Returns the name of the client account to which the request belongs.
    pub(crate) fn account_name(&self) -> Option<Arc<str>> {
        match self {
            Self::Upstream(parent) => parent.account.clone(),
            Self::Account { account, .. } => Some(Arc::clone(&account.name)),
            Self::Anonymous => None,
        }
    }

    /// Returns the priority of the request. That of an account replaces that of the route.
    pub(crate) fn priority(&self, route: &HostRoute) -> CallPriority {
        match self {
            Self::Upstream(parent) => CallPriority::InProgress(parent.priority_level),
            Self::Account { account, .. } => {
                CallPriority::NewRequest(account.priority.unwrap_or(route.priority))
            }
            Self::Anonymous => CallPriority::NewRequest(route.priority),
        }
    }
}

/// Returns the client account that a key selects.
///
/// # Errors
///
/// Returns a failure if no account has the key.
pub(crate) fn account_with_key<'a>(
    configuration: &'a Configuration,
    key: &KeyDigest,
) -> Result<&'a Arc<ClientAccount>, CallFailure> {
    let account = configuration.account_by_key(key);
    account.ok_or_else(|| CallFailure::not_run(Reason::UnknownAccount))
}
