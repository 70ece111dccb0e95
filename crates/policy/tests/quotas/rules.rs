//! Single rules of the bucket and the lender.
