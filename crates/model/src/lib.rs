//! Shared data types of heatherweir: names, VMs, upstream announcements, request classes, overload
//! profiles, the routing configuration and call outcomes.
//!
//! This crate does no I/O.

mod class;
mod client_account;
mod configuration;
mod context;
pub mod headers;
mod names;
mod outcome;
mod profile;
mod profile_text;
mod upstream;

pub use crate::{
    class::{Class, ParseClassError},
    client_account::{ClientAccount, KeyDigest, MAX_ACCOUNT_NAME_BYTES, MAX_KEY_BYTES, Quota},
    configuration::{
        CallerLimits, Configuration, ConfigurationError, HostRoute, Idempotence, RouteAccess,
        RouteTarget,
    },
    context::{CallContext, ContextError, RequestId},
    names::{DataCentreName, NameError, ProfileName, RouteName, ServiceName, VmName},
    outcome::{Outcome, Reason},
    profile::{LimitSettings, Objective, Profile, RetrySettings, Route},
    profile_text::{MAX_PROFILE_BYTES, ProfileError, ProfileFault, parse_profile},
    upstream::{Announcement, AnnouncementError, Vm},
};
