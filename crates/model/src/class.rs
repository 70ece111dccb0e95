//! Classes of requests, in the order in which overload refuses them.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Text that names no class.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseClassError {
        /// The text is none of the class names.
        Unknown(text: String) {
            display("unknown class {:?}, expected sheddable, sheddable-plus, critical or critical-plus", text)
        }
    }
}

/// Importance of a request. Lower classes are refused first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Partial unavailability is expected, such as prefetching.
    Sheddable,
    /// Browsing and page reads.
    SheddablePlus,
    /// Uploads and other work a person waits for.
    Critical,
    /// Rentals and purchases.
    CriticalPlus,
}

impl Class {
    /// All classes, lowest first.
    pub const ALL: [Class; 4] =
        [Class::Sheddable, Class::SheddablePlus, Class::Critical, Class::CriticalPlus];

    /// Returns the position in the order of importance, lowest first.
    pub fn rank(self) -> u32 {
        self as u32
    }

    /// Returns the class of a rank; a rank out of range counts as the lowest class.
    pub fn from_rank(rank: u32) -> Self {
        *Self::ALL.get(rank as usize).unwrap_or(&Class::Sheddable)
    }

    /// Returns the name used in profiles and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Sheddable => "sheddable",
            Class::SheddablePlus => "sheddable-plus",
            Class::Critical => "critical",
            Class::CriticalPlus => "critical-plus",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<Self, ParseClassError> {
        Self::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or_else(|| ParseClassError::Unknown(text.to_owned()))
    }
}
