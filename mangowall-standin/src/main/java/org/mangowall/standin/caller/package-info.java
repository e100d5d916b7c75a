/** Callers that make load, check every answer and compare what they were told with the ledgers. */
package org.mangowall.standin.caller;
