//! Validated names of services, VMs, data centres, profiles and routes; cheap to clone.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 63;

quick_error! {
    /// Violation of the rules for names.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The name is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The name is longer than 63 bytes.
        TooLong(length_bytes: usize) {
            display("a name has at most {} bytes, this one has {}", MAX_NAME_BYTES, length_bytes)
        }
        /// The name contains a character outside `a-z`, `0-9` and `-`.
        BadCharacter(character: char) {
            display("a name holds only a-z, 0-9 and '-', not {:?}", character)
        }
    }
}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(name.len()));
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    match name.chars().find(|&c| !is_allowed(c)) {
        Some(character) => Err(NameError::BadCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates a name.
            ///
            /// # Errors
            ///
            /// Returns an error unless the name is 1 to 63 bytes of `a-z`, `0-9` and `-`.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                check_name(name.as_ref())?;
                Ok(Self(Arc::from(name.as_ref())))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(name: String) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(name: &str) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type! {
    /// Name of a service. Any upstream of a service can serve any of its calls.
    ServiceName
}
name_type! {
    /// Name of a VM.
    VmName
}
name_type! {
    /// Name of a data centre.
    DataCentreName
}
name_type! {
    /// Name of an overload profile.
    ProfileName
}
name_type! {
    /// Name of a route within a profile.
    RouteName
}
