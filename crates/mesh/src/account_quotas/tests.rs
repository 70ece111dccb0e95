//! Tests of the quotas of a node.
