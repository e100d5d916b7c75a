package org.mangowall.standin.runner;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A load report as the protocol's JSON writes it. */
record LoadDocument(@JsonProperty("started_at_millis") long startedAtMillis, int running, long completed) {}
