//! Vocabulary of heatherweir: names, VMs, upstreams, classes, profiles and outcomes.
//!
//! Plain data without I/O. Every other crate builds on these types.

mod class;
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
    configuration::{
        CallerLimits, Configuration, ConfigurationError, HostRoute, Repeatability, RouteTarget,
    },
    context::{CallContext, ContextError, RequestId},
    names::{DataCentreName, NameError, ProfileName, RouteName, ServiceName, VmName},
    outcome::{Outcome, Reason},
    profile::{LimitSettings, Objective, Profile, RetrySettings, Route},
    profile_text::{MAX_PROFILE_BYTES, ProfileError, ProfileFault, parse_profile},
    upstream::{Announcement, AnnouncementError, Vm},
};
