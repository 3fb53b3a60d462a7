//! Seeded measurements of decisions against baselines.
