//! Metrics, histograms, logs and the status page.
