//! Retries, hedges, retry budget and outlier ejection.
