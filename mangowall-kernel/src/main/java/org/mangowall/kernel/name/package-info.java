/** Immutable, validated names of inventory entries and identifiers of requests. */
package org.mangowall.kernel.name;
