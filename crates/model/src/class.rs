//! Request classes, by which overload control decides what to refuse first.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Failure to parse the name of a class.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseClassError {
        /// The text is not the name of a class.
        Unknown(text: String) {
            display("unknown class {:?}, expected sheddable, sheddable-plus, critical or critical-plus", text)
        }
    }
}

/// Criticality of a request, in ascending order. Under overload, lower classes are refused first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Requests whose partial unavailability is expected, such as prefetching.
    Sheddable,
    /// Browsing and page reads.
    SheddablePlus,
    /// Uploads and other work a person waits for.
    Critical,
    /// Rentals and purchases.
    CriticalPlus,
}

impl Class {
    /// All classes, in ascending order.
    pub const ALL: [Class; 4] =
        [Class::Sheddable, Class::SheddablePlus, Class::Critical, Class::CriticalPlus];

    /// Returns the position in [`Class::ALL`]; zero is the lowest class.
    pub fn rank(self) -> u32 {
        self as u32
    }

    /// Returns the class with a rank, or the lowest class if the rank is out of range.
    pub fn from_rank(rank: u32) -> Self {
        *Self::ALL.get(rank as usize).unwrap_or(&Class::Sheddable)
    }

    /// Returns the name of the class in profiles and reports.
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
