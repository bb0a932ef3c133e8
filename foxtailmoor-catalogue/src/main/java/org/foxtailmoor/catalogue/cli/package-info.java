/** Command line with which operators check, compare and build catalogues offline. */
package org.foxtailmoor.catalogue.cli;
